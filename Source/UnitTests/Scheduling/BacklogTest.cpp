// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// A backlog of a thousand steps and more. Pattern: 147 instances and 1,100 workers, a burst on a
// cell that is 75 % taken, then a fifth of the workers lost; 1,200 jobs waited. Each pass of the
// owner looked at all of them, every 15 ms; its commits came 3 a second instead of 25, tickets were
// over before their starts were sent, and what waited grew to the end of the day (527 tasks lost).

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
    // Larger than the worker, and handed in first.
    for (std::size_t i = 0; i < k_backlog; ++i)
      scheduler->add_job(job("blocked-" + std::to_string(10000 + i), {step_of(1, 17000)}), now);
    pass(milliseconds{5});
    step();
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(BacklogTest)

BOOST_FIXTURE_TEST_CASE(a_pass_looks_at_a_part_of_it, long_backlog)
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

BOOST_FIXTURE_TEST_CASE(what_fits_behind_it_has_its_turn, long_backlog)
{
  scheduler->add_job(job("fits", {step_of(1)}), now);
  // One turn for the mark that it begins, one for its start.
  for (std::size_t i = 0; i < 2 * options.backlog_rotation_passes && starts.empty(); ++i)
  {
    pass(milliseconds{5});
    commit_and_step();
  }
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  BOOST_TEST(starts.front().task.job == "fits");
}

BOOST_FIXTURE_TEST_CASE(what_is_more_urgent_is_served_at_once, long_backlog)
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
  commit_and_step(); // that it has begun
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  BOOST_TEST(starts.front().task.job == "first");
}

BOOST_AUTO_TEST_SUITE_END()
