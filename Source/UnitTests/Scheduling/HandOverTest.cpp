// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>

#include "Scheduling/SchedulerHarness.h"

// Owners that were stopped as planned under a burst kept their partition until they were killed, 6
// s later: they gave it back only at a moment without anything to write, and went on starting
// tasks, whose ends came all the time.

using namespace yardhill::scheduling;

namespace
{
constexpr const char* k_job = "0123456789abcdef";

struct busy_owner : scheduler_harness
{
  busy_owner()
  {
    add_worker(worker("w1"));
    start_job(k_job, step_of(2));
    BOOST_TEST_REQUIRE(starts.size() == 2U);
    commit();
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(HandOverTest)

// Ends that come while it is on its way are listed again for the next owner.
BOOST_FIXTURE_TEST_CASE(a_commit_with_all_ends_so_far_is_complete, busy_owner)
{
  answer_hold("w1", {running(starts.back())}, {ended(1, starts.front(), run_outcome::done)});
  BOOST_TEST(scheduler->take_commit(90, now).complete);
}

BOOST_FIXTURE_TEST_CASE(a_commit_that_leaves_rows_out_is_not, busy_owner)
{
  scheduler->add_job(job("0123456789abcde0", {step_of(1)}), now);
  scheduler->cancel_job("0123456789abcde0", now);
  scheduler->cancel_job(k_job, now);
  BOOST_TEST(!scheduler->take_commit(1, now).complete);
  BOOST_TEST(scheduler->take_commit(1, now).complete);
}

BOOST_FIXTURE_TEST_CASE(nothing_is_started_once_placing_has_ended, busy_owner)
{
  scheduler->end_placing();
  clear();
  scheduler->add_job(job("0123456789abcde0", {step_of(1)}), now);
  step();
  commit();
  step();
  BOOST_TEST(starts.empty());
}

BOOST_AUTO_TEST_SUITE_END()
