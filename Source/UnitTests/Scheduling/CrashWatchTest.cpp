// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Which runs are blamed for a worker's crash, how their tasks are tried again, and when they are
// given up: the parts of CrashingTaskTest (Model), where the incident is told.

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
// Two workers at first, with a new life for each that crashes.
struct crashing_cell : scheduler_harness
{
  explicit crashing_cell(run_number first_run = 0) : scheduler_harness(first_run) {}

  void add_workers(int count)
  {
    for (int i = 0; i < count; ++i)
      add_worker(worker("w" + std::to_string(++m_lives)));
  }

  // The start is answered, and some milliseconds later another life has the worker's address.
  void crash_under(const start_command& order)
  {
    answer_start(order, call_end::done);
    pass(milliseconds{10});
    end_life(order.worker);
  }

  void end_life(const worker_id& id)
  {
    scheduler->worker_entry_gone(id, now);
    fail_hold(id.value, call_end::other_incarnation);
  }

  // So many workers besides that one.
  void lose_others(const worker_id& than, int count)
  {
    for (int id = m_lives; id > 0 && count > 0; --id)
    {
      const worker_id other("w" + std::to_string(id));
      if (other == than || !m_lost.insert(other).second)
        continue;
      end_life(other);
      --count;
    }
  }

  // What is announced is written, and starts are sent.
  void try_again()
  {
    clear();
    step();
    commit_and_step();
  }

  // Starts of the job so far that have crashed their workers.
  unsigned crash_until_given_up(unsigned most)
  {
    unsigned crashes = 0;
    while (!starts.empty() && crashes < most)
    {
      const start_command latest = starts.front();
      clear();
      crash_under(latest);
      ++crashes;
      add_workers(1);
      wait_and_try_again(seconds{3});
    }
    return crashes;
  }

  // The run's first lease is short; the holds that an owner sends meanwhile extend it.
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
  int m_lives = 0;
  std::set<worker_id> m_lost;
};

struct crashed_once : crashing_cell
{
  crashed_once()
  {
    add_workers(2);
    start_job(k_job, step_of(1));
    crash_under(starts.front());
  }
};

// The progress of a job as the next owner reads it.
jobs::job_progress written(scheduler_harness& owner)
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
  const jobs::crash_history crashes = history_of(written(*this)).crashes;
  BOOST_TEST(crashes.blamed.size() == 1U);
  BOOST_TEST(crashes.announced == 2U);
  BOOST_TEST(crashes.announced_on == "w2");
}

BOOST_FIXTURE_TEST_CASE(what_had_begun_before_is_not_blamed, crashing_cell)
{
  add_workers(1);
  start_job(k_other_job, step_of(1));
  const start_command neighbour = starts.front();
  answer_start(neighbour, call_end::done);
  pass(seconds{1});
  answer_hold("w1", {running(neighbour)});
  clear();
  start_job(k_job, step_of(1));
  const start_command guilty = starts.front();
  crash_under(guilty);
  const commit_batch batch = scheduler->take_commit(1000, now);
  BOOST_TEST(history_of(jobs::job_progress_from(batch.rows.at(k_job))).crashes.blamed.size() == 1U);
  const jobs::crash_history other =
      history_of(jobs::job_progress_from(batch.rows.at(k_other_job))).crashes;
  BOOST_TEST(counted_losses(other) == 0U);
  BOOST_TEST(other.lost); // and its next run is announced
}

BOOST_FIXTURE_TEST_CASE(a_worker_that_leaves_as_planned_has_not_crashed, crashing_cell)
{
  add_workers(2);
  start_job(k_job, step_of(1));
  answer_start(starts.front(), call_end::done);
  worker_info leaving = worker(starts.front().worker.value);
  leaving.draining = true;
  scheduler->worker_entry(leaving, now);
  end_life(leaving.id);
  try_again();
  BOOST_TEST(starts.size() == 1U);
  BOOST_TEST(metrics.value(yardhill::common::counter::workers_crashed) == 0U);
}

BOOST_FIXTURE_TEST_CASE(nothing_else_begins_beside_an_isolated_trial, crashed_once)
{
  try_again();
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  crash_under(starts.front());
  add_workers(1);
  pass(seconds{3});
  try_again();
  BOOST_TEST_REQUIRE(starts.size() == 1U); // the third try, on the only worker
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
  crash_under(starts.front());
  try_again();
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  answer_start(starts.front(), call_end::done);
  fail_hold(starts.front().worker.value, call_end::unanswered);
  pass(seconds{2});
  try_again();
  BOOST_TEST(starts.empty());
}

BOOST_FIXTURE_TEST_CASE(a_task_that_lasts_is_free_of_suspicion_once_it_has_run_for_long,
                        crashing_cell)
{
  add_workers(2);
  jobs::step_spec lasting = step_of(1);
  lasting.long_running = true;
  start_job(k_job, lasting);
  crash_under(starts.front());
  try_again();
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  answer_start(starts.front(), call_end::done);
  pass(options.crash_survival_time);
  answer_hold(starts.front().worker.value, {running(starts.front())});
  BOOST_TEST(!history_of(written(*this)).crashes.any());
}

// Jobs that crash nothing were given up where most of the cell's workers started again, some of
// them several times: each loss counted as if the task's worker alone had been lost.
BOOST_FIXTURE_TEST_CASE(a_loss_among_many_others_convicts_nobody, crashing_cell)
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
    end_life(latest.worker);
    add_workers(3);
    wait_and_try_again(options.background_window + options.steady_incarnation_age);
  }
  BOOST_TEST((state() == jobs::job_state::active));
  BOOST_TEST(metrics.value(yardhill::common::counter::tasks_given_up) == 0U);
}

// Of workers that fall together one is noticed first, and its task was convicted by that.
BOOST_FIXTURE_TEST_CASE(a_conviction_waits_for_others_that_fall_with_the_worker, crashing_cell)
{
  add_workers(9);
  start_job(k_job, step_of(1));
  for (int i = 0; i < 2; ++i)
  {
    const start_command latest = starts.front();
    clear();
    crash_under(latest);
    wait_and_try_again(seconds{3});
    BOOST_TEST_REQUIRE(starts.size() == 1U);
  }
  crash_under(starts.front());
  BOOST_TEST((state() == jobs::job_state::active));
  lose_others(starts.front().worker, 3);
  pass(options.conviction_delay);
  step();
  BOOST_TEST((state() == jobs::job_state::active));
}

// Five starts without an answer were taken for crashes although workers fell everywhere: the job
// was shown as failed without any evidence.
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
    end_life(latest.worker);
    add_workers(3);
    wait_and_try_again(options.background_window + options.steady_incarnation_age);
    losses += starts.empty() ? 0 : 1;
  }
  BOOST_TEST(losses == 6);
  BOOST_TEST((state() == jobs::job_state::active));
}

BOOST_FIXTURE_TEST_CASE(a_trial_waits_until_workers_are_no_longer_lost_anyway, crashing_cell)
{
  add_workers(9);
  start_job(k_job, step_of(1));
  const start_command first = starts.front();
  clear();
  crash_under(first);
  wait_and_try_again(milliseconds{500});
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  const start_command second = starts.front();
  clear();
  crash_under(second);
  lose_others(second.worker, 3);
  wait_and_try_again(options.crash_trial_timeout);
  BOOST_TEST(starts.empty());
  wait_and_try_again(options.background_window);
  wait_and_try_again(options.crash_trial_timeout);
  BOOST_TEST(starts.size() == 1U);
}

// Each new task that crashed its worker counted as background for all others, so that they excused
// each other and were started without a bound.
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
  for (const start_command& order : first_starts)
  {
    answer_start(order, call_end::done);
    pass(milliseconds{10});
    fail_hold(order.worker.value, call_end::unanswered);
  }
  pass(seconds{3});
  for (const start_command& order : first_starts)
    end_life(order.worker);
  const jobs::crash_history crashes = history_of(written(*this)).crashes;
  BOOST_TEST(crashes.by_chance == 0U);
  BOOST_TEST(crashes.blamed.size() == 1U);
}

// Losses by chance did not count against the tries, so a task that had crashed a worker for certain
// was started a sixth time.
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
  BOOST_TEST(history_of(written(*this)).crashes.blamed.size() == 3U);
}

BOOST_FIXTURE_TEST_CASE(an_announced_run_on_a_worker_that_was_heard_does_not_count,
                        takeover_harness)
{
  restore_claim("w9", {{"10.0.0.9", 80}, "", false, {}});
  scheduler->restore_job(job(k_job, {step_of(1)}), announced_on_w9(), now);
  begin();
  answer_hold("w9", {});
  const jobs::crash_history crashes = history_of(written(*this)).crashes;
  BOOST_TEST(crashes.blamed.size() == 2U);
  BOOST_TEST(crashes.unclear.empty());
}

BOOST_FIXTURE_TEST_CASE(an_announced_run_that_nobody_heard_of_is_unclear, takeover_harness)
{
  restore_claim("w9", {{"10.0.0.9", 80}, "", false, {}});
  scheduler->restore_job(job(k_job, {step_of(1)}), announced_on_w9(), now);
  begin();
  pass(seconds{17}); // beyond all earlier leases
  step();
  BOOST_TEST(history_of(written(*this)).crashes.unclear.size() == 1U);
}

// An owner that found the worker gone wrote its claim off and was lost before the other workers
// were heard; the next one took the announced run for one that had been heard.
BOOST_FIXTURE_TEST_CASE(what_a_claim_tells_is_written_before_the_claim_goes, takeover_harness)
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

// The first start of a task is not announced, and so was the second one where the owner that had
// found the first one's worker gone was lost: six starts crashed six workers.
BOOST_FIXTURE_TEST_CASE(a_task_that_a_lost_claim_may_have_held_is_announced_by_later_owners,
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
