// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>

#include "Scheduling/SchedulerHarness.h"

// When owners were killed one after the other, a job was shown as active by one owner and as queued
// by the next. The first owner showed the state in its memory and was killed before it had written
// that state. The row that it had written before the first start, with the step's begin mark, said
// that the job was queued.

using namespace yardhill::scheduling;
using yardhill::jobs::job_state;

namespace
{
constexpr const char* k_job = "0123456789abcdef";

struct job_with_free_worker : scheduler_harness
{
  job_with_free_worker()
  {
    add_worker(worker("w1"));
    scheduler->add_job(job(k_job, {step_of(1)}), now);
    step();
  }

  // Writes the job's row and returns it as a later owner reads it.
  std::string written_row()
  {
    const commit_batch batch = scheduler->take_commit(90, now);
    scheduler->commit_done(batch, true);
    return batch.rows.at(k_job);
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(ShownStateTest)

BOOST_FIXTURE_TEST_CASE(a_job_that_was_active_is_not_queued_under_the_next_owner,
                        job_with_free_worker)
{
  const std::string row = written_row();
  step();
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  BOOST_TEST((scheduler->state_of(k_job) == job_state::active));

  scheduler_harness next(1000);
  next.scheduler->restore_job(job(k_job, {step_of(1)}), yardhill::jobs::job_progress_from(row),
                              next.now);
  BOOST_TEST((next.scheduler->state_of(k_job) == job_state::active));
}

// The store and the owner must give the same answer.
BOOST_FIXTURE_TEST_CASE(a_job_is_active_as_soon_as_its_row_says_so, job_with_free_worker)
{
  BOOST_TEST((scheduler->state_of(k_job) == job_state::queued));
  const auto progress = yardhill::jobs::job_progress_from(written_row());
  BOOST_TEST((scheduler->state_of(k_job) == progress.state));
}

// A row may have been written by an owner that did not count the job as active yet.
BOOST_AUTO_TEST_CASE(a_job_that_may_have_begun_is_restored_as_active)
{
  scheduler_harness owner(1000);
  yardhill::jobs::job_progress progress;
  progress.begun[{0, 0, 0}] = "";
  owner.scheduler->restore_job(scheduler_harness::job(k_job, {scheduler_harness::step_of(1)}),
                               progress, owner.now);
  BOOST_TEST((owner.scheduler->state_of(k_job) == job_state::active));
}

BOOST_AUTO_TEST_SUITE_END()
