// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// A backlog of a thousand steps and more. Guards against passes that examine the whole backlog.
//
// The failure came about with 147 instances and 1,100 workers, by a burst of jobs on a cell whose
// capacity was 75 % used, and then the loss of a fifth of the workers: 1,200 jobs waited. Each of
// the owner's passes, every 15 ms, examined all of them. The owner made 3 commits a second instead
// of 25, tickets expired before their starts were sent, and the backlog grew until the end of the
// day (527 tasks lost).

#include <algorithm>
#include <string>

#include <boost/test/unit_test.hpp>

#include "Scheduling/SchedulerHarness.h"

using namespace yardhill::scheduling;
using std::chrono::milliseconds;

namespace
{
constexpr std::size_t k_backlog = 1000;

struct long_backlog : scheduler_harness
{
  long_backlog()
  {
    add_worker(worker("w1"));
    // These jobs are submitted first, and their tasks are larger than the worker.
    for (std::size_t i = 0; i < k_backlog; ++i)
      scheduler->add_job(job("blocked-" + std::to_string(10000 + i), {step_of(1, 17000)}), now);
    pass(milliseconds{5});
    step();
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(BacklogTest)

BOOST_FIXTURE_TEST_CASE(a_pass_examines_a_part_of_the_backlog, long_backlog)
{
  for (int i = 0; i < 20; ++i)
  {
    step();
    BOOST_TEST(scheduler->steps_looked_at() <= options.blocked_steps_per_pass +
                                                   k_backlog / options.backlog_rotation_passes +
                                                   options.backlog_window);
  }
}

BOOST_FIXTURE_TEST_CASE(passes_are_further_apart_the_more_they_look_at, long_backlog)
{
  BOOST_TEST((scheduler->pass_spacing() > 2 * options.min_pass_spacing));
  BOOST_TEST((scheduler->pass_spacing() < milliseconds{50}));
}

BOOST_FIXTURE_TEST_CASE(a_job_that_fits_behind_the_backlog_is_started, long_backlog)
{
  scheduler->add_job(job("fits", {step_of(1)}), now);
  // One rotation to request the begin mark, one to send the start.
  for (std::size_t i = 0; i < 2 * options.backlog_rotation_passes && starts.empty(); ++i)
  {
    pass(milliseconds{5});
    commit_and_step();
  }
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  BOOST_TEST(starts.front().task.job == "fits");
}

BOOST_FIXTURE_TEST_CASE(a_more_urgent_job_is_started_at_once, long_backlog)
{
  yardhill::jobs::queue_policy urgent;
  urgent.service = "service";
  urgent.max_attempts = 3;
  yardhill::jobs::queue_policy usual = urgent;
  usual.priority = 1;
  scheduler->set_policies({{"queue", usual}, {"urgent", urgent}});
  yardhill::jobs::accepted_job first = job("first", {step_of(1)});
  first.queue = "urgent";
  scheduler->add_job(first, now);
  step();
  commit_and_step(); // writes the begin mark
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  BOOST_TEST(starts.front().task.job == "first");
}

BOOST_AUTO_TEST_SUITE_END()
