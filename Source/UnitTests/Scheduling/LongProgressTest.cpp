// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>

#include "Scheduling/SchedulerHarness.h"

using namespace yardhill;
using namespace yardhill::scheduling;
using std::chrono::milliseconds;

namespace
{
constexpr std::uint32_t k_tasks = 1600;
constexpr std::size_t k_most_rows = 90;

// All tasks of a wide job run on w1.
struct wide_job : scheduler_harness
{
  wide_job()
  {
    add_worker(worker("w1"));
    jobs::step_spec step = step_of(k_tasks, 10);
    step.demand.memory_mib = 10;
    start_job(k_job, step);
    for (int i = 0; i < 1000 && starts.size() < k_tasks; ++i)
    {
      pass(milliseconds{25});
      commit_and_step();
    }
    BOOST_TEST_REQUIRE(starts.size() == k_tasks);
    for (const start_command& each : starts)
      answer_start(each, call_end::done);
    commit();
  }

  commit_batch lose_worker()
  {
    fail_hold("w1", call_end::other_incarnation);
    pass(milliseconds{25});
    step();
    return scheduler->take_commit(k_most_rows, now);
  }

  void check_limits(const commit_batch& batch) const
  {
    BOOST_TEST(batch.size() <= k_most_rows);
    BOOST_TEST(batch.bytes() <= options.max_commit_bytes);
    for (const auto* const texts : {&batch.rows, &batch.continuations})
    {
      for (const auto& [key, text] : *texts)
        BOOST_TEST(text.size() <= options.rows.bytes, key);
    }
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(LongProgressTest)

// Guards against a commit that the store refuses for good, after which nothing starts in the cell:
// a worker is lost with 1,600 tasks of one job.
BOOST_FIXTURE_TEST_CASE(the_progress_of_many_lost_tasks_fits_into_rows, wide_job)
{
  const commit_batch batch = lose_worker();
  check_limits(batch);
  BOOST_TEST(!batch.continuations.empty());
  jobs::job_progress progress = jobs::job_progress_from(batch.rows.at(k_job));
  for (const auto& [key, text] : batch.continuations)
    jobs::add_continuation(progress, jobs::job_progress_from(text));
  BOOST_TEST(progress.histories.size() == k_tasks);
}

BOOST_FIXTURE_TEST_CASE(continuation_rows_are_removed_with_the_end_of_the_job, wide_job)
{
  const commit_batch first = lose_worker();
  scheduler->commit_done(first, true);
  scheduler->cancel_job(k_job, now);
  const commit_batch last = scheduler->take_commit(k_most_rows, now);
  BOOST_TEST(last.rows.contains(k_job));
  BOOST_TEST(last.continuations.empty());
  BOOST_TEST(last.removed_continuations.size() == first.continuations.size());
}

BOOST_FIXTURE_TEST_CASE(unchanged_continuation_rows_are_not_written_again, wide_job)
{
  scheduler->commit_done(lose_worker(), true);
  scheduler->add_job(job(k_other_job, {step_of(1)}), now);
  add_worker(worker("w2"));
  clear();
  pass(milliseconds{25});
  step();
  const commit_batch next = scheduler->take_commit(k_most_rows, now);
  check_limits(next);
  BOOST_TEST(next.continuations.size() <= 1U);
}

// Guards against leaving rows behind that a later owner would read: the progress is longer under
// the earlier owner.
BOOST_FIXTURE_TEST_CASE(rows_of_an_earlier_owner_that_are_not_needed_are_removed, takeover_harness)
{
  jobs::job_progress progress = begun();
  progress.continuation_rows = 2;
  scheduler->restore_job(job(k_job, {step_of(1)}), progress, now);
  begin();
  scheduler->cancel_job(k_job, now);
  const commit_batch batch = scheduler->take_commit(k_most_rows, now);
  BOOST_TEST(
      (batch.removed_continuations ==
       std::set<std::string>{jobs::continuation_key(k_job, 1), jobs::continuation_key(k_job, 2)}));
}

// Guards against commits beyond the store's limit for a transaction: several jobs with much
// progress change at the same time.
BOOST_FIXTURE_TEST_CASE(a_commit_ends_before_the_job_that_makes_it_too_large, takeover_harness)
{
  constexpr std::uint32_t count = 3000;
  add_worker(worker("w1", 1'000'000));
  jobs::job_progress progress;
  for (std::uint32_t i = 0; i < count; ++i)
  {
    progress.histories[{0, 0, i}].failed_runs = {1};
    progress.histories[{0, 0, i}].checkpoint = std::string(60, 'c');
  }
  jobs::step_spec step = step_of(count, 1);
  step.demand.memory_mib = 0;
  for (char digit = '0'; digit <= '9'; ++digit)
    scheduler->restore_job(job(std::string("0123456789abcde") + digit, {step}), progress, now);
  begin(); // all ten want to begin, which has to be written
  std::size_t commits = 0;
  std::size_t jobs_written = 0;
  for (bool complete = false; !complete && commits < 20; ++commits)
  {
    const commit_batch batch = scheduler->take_commit(k_most_rows, now);
    jobs_written += batch.rows.size();
    BOOST_TEST(batch.size() <= k_most_rows);
    BOOST_TEST(batch.bytes() <= options.max_commit_bytes);
    complete = batch.complete;
    scheduler->commit_done(batch, true);
  }
  BOOST_TEST(jobs_written == 10U);
  BOOST_TEST(commits > 1U);
  BOOST_TEST(commits < 20U);
}

// Guards against a claim that does not fit into a row: its worker falls silent with 1,600 tasks.
BOOST_FIXTURE_TEST_CASE(a_claim_of_too_many_tasks_stays_open, wide_job)
{
  fail_hold("w1", call_end::unanswered);
  pass(options.close_claim_after + milliseconds{100});
  step();
  const commit_batch batch = scheduler->take_commit(k_most_rows, now);
  const auto claim = batch.claims.find(worker_id("w1"));
  BOOST_TEST_REQUIRE((claim != batch.claims.end()));
  BOOST_TEST(!claim->second.closed);
  BOOST_TEST(claim->second.tasks.empty());
}

BOOST_FIXTURE_TEST_CASE(a_job_whose_progress_is_refused_for_good_fails, wide_job)
{
  const commit_batch batch = lose_worker();
  scheduler->commit_done(batch, false);
  scheduler->give_up_part(batch, now);
  BOOST_TEST((scheduler->state_of(k_job) == jobs::job_state::failed));
  const commit_batch last = scheduler->take_commit(k_most_rows, now);
  BOOST_TEST((jobs::job_progress_from(last.rows.at(k_job)).state == jobs::job_state::failed));
}

BOOST_AUTO_TEST_SUITE_END()
