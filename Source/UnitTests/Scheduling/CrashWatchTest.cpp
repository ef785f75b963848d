// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Which runs are blamed for a worker's crash, how their tasks are tried again, and when they are
// given up. CrashingTaskTest (Model) describes the incident behind these rules and covers them
// together.

#include <set>

#include <boost/test/unit_test.hpp>

#include "Scheduling/CrashWatch.h"
#include "Scheduling/SchedulerHarness.h"

using namespace yardhill::scheduling;
namespace jobs = yardhill::jobs;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
// A cell whose workers are numbered, so that a new one can be added for each that crashes.
struct crashing_cell : scheduler_harness
{
  explicit crashing_cell(run_number first_run = 0) : scheduler_harness(first_run) {}

  void add_workers(int count)
  {
    for (int i = 0; i < count; ++i)
      add_worker(worker("w" + std::to_string(++m_workers_added)));
  }

  // Answers the start request; 10 ms later another worker has the address.
  void crash_worker_of(const start_command& request)
  {
    answer_start(request, call_end::done);
    pass(milliseconds{10});
    end_incarnation(request.worker);
  }

  void end_incarnation(const worker_id& id)
  {
    scheduler->worker_entry_gone(id, now);
    fail_hold(id.value, call_end::other_incarnation);
  }

  // Ends the incarnations of `count` workers other than this one.
  void lose_others(const worker_id& survivor, int count)
  {
    for (int id = m_workers_added; id > 0 && count > 0; --id)
    {
      const worker_id other("w" + std::to_string(id));
      if (other == survivor || !m_lost.insert(other).second)
        continue;
      end_incarnation(other);
      --count;
    }
  }

  // Writes the announcements that runs wait for, so that their start requests are sent.
  void try_again()
  {
    clear();
    step();
    commit_and_step();
  }

  // Crashes the worker of each start of the job, until there are no more starts, or `most` times.
  // Returns the number of crashes.
  unsigned crash_until_given_up(unsigned most)
  {
    unsigned crashes = 0;
    while (!starts.empty() && crashes < most)
    {
      const start_command latest = starts.front();
      clear();
      crash_worker_of(latest);
      ++crashes;
      add_workers(1);
      wait_and_try_again(seconds{3});
    }
    return crashes;
  }

  // Lets time pass until a start request is sent, at most `time`. It passes in steps, since a run's
  // first lease is short and the holds that the owner sends meanwhile have to extend it.
  void wait_and_try_again(duration time)
  {
    for (const time_point end = now + time; now < end && starts.empty();)
    {
      pass(milliseconds{100});
      step();
      commit_and_step();
    }
  }

  std::optional<jobs::job_state> state() const { return scheduler->state_of(k_job); }

private:
  int m_workers_added = 0;
  std::set<worker_id> m_lost;
};

struct crashed_once : crashing_cell
{
  crashed_once()
  {
    add_workers(2);
    start_job(k_job, step_of(1));
    crash_worker_of(starts.front());
  }
};

// The progress of the job as the next owner reads it.
jobs::job_progress written_progress(scheduler_harness& owner)
{
  const commit_batch batch = owner.scheduler->take_commit(1000, owner.now);
  const auto row = batch.rows.find(scheduler_harness::k_job);
  BOOST_TEST_REQUIRE((row != batch.rows.end()));
  return jobs::job_progress_from(row->second);
}

jobs::task_history history_of(const jobs::job_progress& progress)
{
  const auto found = progress.histories.find({0, 0, 0});
  return found == progress.histories.end() ? jobs::task_history{} : found->second;
}

// An earlier owner announced run 7 of the task on w9, after the worker of another run had crashed.
jobs::job_progress announced_on_w9()
{
  jobs::job_progress progress = takeover_harness::begun();
  progress.histories[{0, 0, 0}].crashes = {{3, 5}, {}, 7, "w9", 0, 0, true};
  return progress;
}
} // namespace

BOOST_AUTO_TEST_SUITE(CrashWatchTest)

BOOST_FIXTURE_TEST_CASE(a_task_alone_at_three_crashes_is_given_up, crashing_cell)
{
  add_workers(2);
  start_job(k_job, step_of(1));
  BOOST_TEST(crash_until_given_up(9) == 3U);
  BOOST_TEST((state() == jobs::job_state::failed));
  BOOST_TEST(metrics.value(yardhill::common::counter::workers_crashed) == 3U);
  BOOST_TEST(metrics.value(yardhill::common::counter::tasks_given_up) == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_suspected_run_starts_once_it_is_announced, crashed_once)
{
  clear();
  step();
  BOOST_TEST(starts.empty());
  const jobs::crash_history crashes = history_of(written_progress(*this)).crashes;
  BOOST_TEST(crashes.blamed.size() == 1U);
  BOOST_TEST(crashes.announced == 2U);
  BOOST_TEST(crashes.announced_on == "w2");
}

BOOST_FIXTURE_TEST_CASE(runs_that_had_begun_earlier_are_not_blamed, crashing_cell)
{
  add_workers(1);
  start_job(k_other_job, step_of(1));
  const start_command earlier_start = starts.front();
  answer_start(earlier_start, call_end::done);
  pass(seconds{1});
  answer_hold("w1", {running(earlier_start)});
  clear();
  start_job(k_job, step_of(1));
  const start_command crashing_start = starts.front();
  crash_worker_of(crashing_start);
  const commit_batch batch = scheduler->take_commit(1000, now);
  BOOST_TEST(history_of(jobs::job_progress_from(batch.rows.at(k_job))).crashes.blamed.size() == 1U);
  const jobs::crash_history other =
      history_of(jobs::job_progress_from(batch.rows.at(k_other_job))).crashes;
  BOOST_TEST(counted_losses(other) == 0U);
  BOOST_TEST(other.lost); // so that the task's next run is announced
}

BOOST_FIXTURE_TEST_CASE(a_worker_that_leaves_as_planned_has_not_crashed, crashing_cell)
{
  add_workers(2);
  start_job(k_job, step_of(1));
  answer_start(starts.front(), call_end::done);
  worker_info leaving = worker(starts.front().worker.value);
  leaving.draining = true;
  scheduler->worker_entry(leaving, now);
  end_incarnation(leaving.id);
  try_again();
  BOOST_TEST(starts.size() == 1U);
  BOOST_TEST(metrics.value(yardhill::common::counter::workers_crashed) == 0U);
}

BOOST_FIXTURE_TEST_CASE(nothing_else_begins_beside_an_isolated_trial, crashed_once)
{
  try_again();
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  crash_worker_of(starts.front());
  add_workers(1);
  pass(seconds{3});
  try_again();
  BOOST_TEST_REQUIRE(starts.size() == 1U); // the third trial, on the only worker
  answer_start(starts.front(), call_end::done);
  clear();
  start_job(k_other_job, step_of(1));
  BOOST_TEST(starts.empty());
  pass(options.crash_trial_time * 4);
  try_again();
  BOOST_TEST(starts.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_suspected_task_gets_no_copy_beside_a_silent_worker, crashing_cell)
{
  add_workers(3);
  jobs::step_spec step_spec = step_of(1);
  step_spec.speculative = true;
  start_job(k_job, step_spec);
  crash_worker_of(starts.front());
  try_again();
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  answer_start(starts.front(), call_end::done);
  fail_hold(starts.front().worker.value, call_end::unanswered);
  pass(seconds{2});
  try_again();
  BOOST_TEST(starts.empty());
}

BOOST_FIXTURE_TEST_CASE(a_long_running_task_is_cleared_once_it_has_run_for_long, crashing_cell)
{
  add_workers(2);
  jobs::step_spec long_running_step = step_of(1);
  long_running_step.long_running = true;
  start_job(k_job, long_running_step);
  crash_worker_of(starts.front());
  try_again();
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  answer_start(starts.front(), call_end::done);
  pass(options.crash_survival_time);
  answer_hold(starts.front().worker.value, {running(starts.front())});
  BOOST_TEST(!history_of(written_progress(*this)).crashes.any());
}

// Guards against giving up jobs that crash nothing. It happened while most of the cell's workers
// restarted, some of them several times: each loss counted as if the task's worker alone had been
// lost.
BOOST_FIXTURE_TEST_CASE(a_loss_among_many_others_proves_nothing, crashing_cell)
{
  add_workers(9);
  start_job(k_job, step_of(1));
  for (int i = 0; i < 6 && !starts.empty(); ++i)
  {
    const start_command latest = starts.front();
    clear();
    answer_start(latest, call_end::done);
    pass(milliseconds{10});
    lose_others(latest.worker, 2);
    end_incarnation(latest.worker);
    add_workers(3);
    wait_and_try_again(options.background_window + options.steady_incarnation_age);
  }
  BOOST_TEST((state() == jobs::job_state::active));
  BOOST_TEST(metrics.value(yardhill::common::counter::tasks_given_up) == 0U);
}

// Of workers that are lost together, one is noticed first. Its task was given up for that loss,
// before the others were noticed.
BOOST_FIXTURE_TEST_CASE(a_decision_waits_for_losses_of_other_workers_at_the_same_time,
                        crashing_cell)
{
  add_workers(9);
  start_job(k_job, step_of(1));
  for (int i = 0; i < 2; ++i)
  {
    const start_command latest = starts.front();
    clear();
    crash_worker_of(latest);
    wait_and_try_again(seconds{3});
    BOOST_TEST_REQUIRE(starts.size() == 1U);
  }
  crash_worker_of(starts.front());
  BOOST_TEST((state() == jobs::job_state::active));
  lose_others(starts.front().worker, 3);
  pass(options.conviction_delay);
  step();
  BOOST_TEST((state() == jobs::job_state::active));
}

// Guards against counting start requests without an answer as crashes while workers are lost
// everywhere: after five of them a job was shown as failed without any evidence.
BOOST_FIXTURE_TEST_CASE(unanswered_starts_among_many_losses_are_no_evidence, crashing_cell)
{
  add_workers(12);
  start_job(k_job, step_of(1));
  int losses = 0;
  for (int i = 0; i < 6 && !starts.empty(); ++i)
  {
    const start_command latest = starts.front();
    clear();
    lose_others(latest.worker, 2);
    end_incarnation(latest.worker);
    add_workers(3);
    wait_and_try_again(options.background_window + options.steady_incarnation_age);
    losses += starts.empty() ? 0 : 1;
  }
  BOOST_TEST(losses == 6);
  BOOST_TEST((state() == jobs::job_state::active));
}

BOOST_FIXTURE_TEST_CASE(a_trial_waits_until_few_workers_are_lost_for_other_reasons, crashing_cell)
{
  add_workers(9);
  start_job(k_job, step_of(1));
  const start_command first = starts.front();
  clear();
  crash_worker_of(first);
  wait_and_try_again(milliseconds{500});
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  const start_command second = starts.front();
  clear();
  crash_worker_of(second);
  lose_others(second.worker, 3);
  wait_and_try_again(options.crash_trial_timeout);
  BOOST_TEST(starts.empty());
  wait_and_try_again(options.background_window);
  wait_and_try_again(options.crash_trial_timeout);
  BOOST_TEST(starts.size() == 1U);
}

// Guards against unbounded starts of tasks that crash their workers: each new such task counted as
// a background loss for all others, so that they excused each other.
BOOST_FIXTURE_TEST_CASE(tasks_that_crash_their_workers_do_not_excuse_each_other, crashing_cell)
{
  add_workers(12);
  std::vector<start_command> first_starts;
  for (const char* const job : {"0123456789abcde1", "0123456789abcde2", "0123456789abcde3", k_job})
  {
    start_job(job, step_of(1, 16000));
    first_starts.push_back(starts.front());
    clear();
  }
  for (const start_command& request : first_starts)
  {
    answer_start(request, call_end::done);
    pass(milliseconds{10});
    fail_hold(request.worker.value, call_end::unanswered);
  }
  pass(seconds{3});
  for (const start_command& request : first_starts)
    end_incarnation(request.worker);
  const jobs::crash_history crashes = history_of(written_progress(*this)).crashes;
  BOOST_TEST(crashes.by_chance == 0U);
  BOOST_TEST(crashes.blamed.size() == 1U);
}

// Losses by chance did not count as lost starts, so a task that had certainly crashed a worker was
// started a sixth time.
BOOST_FIXTURE_TEST_CASE(a_blamed_task_is_given_up_after_five_lost_starts_whatever_their_verdicts,
                        takeover_harness)
{
  jobs::job_progress progress = begun();
  progress.histories[{0, 0, 0}].crashes.blamed = {5};
  progress.histories[{0, 0, 0}].crashes.by_chance = 4;
  scheduler->restore_job(job(k_job, {step_of(1)}), progress, now);
  begin();
  add_worker(worker("w1"));
  pass(options.conviction_delay);
  step();
  BOOST_TEST((scheduler->state_of(k_job) == jobs::job_state::failed));
  BOOST_TEST(starts.empty());
}

BOOST_FIXTURE_TEST_CASE(an_announced_run_on_a_worker_that_has_ended_counts, takeover_harness)
{
  restore_claim("w9", {{"10.0.0.9", 80}, "", false, {}});
  scheduler->restore_job(job(k_job, {step_of(1)}), announced_on_w9(), now);
  begin();
  fail_hold("w9", call_end::other_incarnation);
  step();
  BOOST_TEST(history_of(written_progress(*this)).crashes.blamed.size() == 3U);
}

BOOST_FIXTURE_TEST_CASE(an_announced_run_on_a_worker_that_was_heard_does_not_count,
                        takeover_harness)
{
  restore_claim("w9", {{"10.0.0.9", 80}, "", false, {}});
  scheduler->restore_job(job(k_job, {step_of(1)}), announced_on_w9(), now);
  begin();
  answer_hold("w9", {});
  const jobs::crash_history crashes = history_of(written_progress(*this)).crashes;
  BOOST_TEST(crashes.blamed.size() == 2U);
  BOOST_TEST(crashes.unclear.empty());
}

BOOST_FIXTURE_TEST_CASE(an_announced_run_that_nobody_heard_of_is_unclear, takeover_harness)
{
  restore_claim("w9", {{"10.0.0.9", 80}, "", false, {}});
  scheduler->restore_job(job(k_job, {step_of(1)}), announced_on_w9(), now);
  begin();
  pass(seconds{17}); // past the end of all leases of earlier owners
  step();
  BOOST_TEST(history_of(written_progress(*this)).crashes.unclear.size() == 1U);
}

// Guards against losing the count of an announced run. An owner that found the worker gone removed
// the worker's claim, and was lost before the other workers had answered. The next owner then
// assumed that the worker had listed its runs without the announced one.
BOOST_FIXTURE_TEST_CASE(losses_known_from_a_claim_are_written_before_the_claim_is_removed,
                        takeover_harness)
{
  restore_claim("w8", {{"10.0.0.8", 80}, "", false, {}});
  restore_claim("w9", {{"10.0.0.9", 80}, "", false, {}});
  scheduler->restore_job(job(k_job, {step_of(1)}), announced_on_w9(), now);
  begin();
  fail_hold("w9", call_end::other_incarnation);
  step();
  const commit_batch batch = scheduler->take_commit(1000, now);
  BOOST_TEST_REQUIRE(batch.releases.contains(worker_id("w9")));
  BOOST_TEST_REQUIRE(batch.rows.contains(k_job));
  const jobs::crash_history crashes =
      history_of(jobs::job_progress_from(batch.rows.at(k_job))).crashes;
  BOOST_TEST(crashes.blamed.size() == 3U);
  BOOST_TEST(crashes.announced == 0U);
}

// Guards against six starts that crash six workers. The first start of a task is not announced. The
// second one was not announced either if the owner that had found the first one's worker gone was
// lost in between.
BOOST_FIXTURE_TEST_CASE(a_task_that_a_removed_claim_may_have_covered_is_announced_by_later_owners,
                        takeover_harness)
{
  restore_claim("w8", {{"10.0.0.8", 80}, "", false, {}});
  restore_claim("w9", {{"10.0.0.9", 80}, "", false, {}});
  restore_begun(k_job);
  begin();
  fail_hold("w9", call_end::other_incarnation);
  step();
  const commit_batch batch = scheduler->take_commit(1000, now);
  BOOST_TEST_REQUIRE(batch.rows.contains(k_job));
  BOOST_TEST(history_of(jobs::job_progress_from(batch.rows.at(k_job))).crashes.lost);
}

BOOST_AUTO_TEST_SUITE_END()
