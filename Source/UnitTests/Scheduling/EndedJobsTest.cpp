// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>

#include "Scheduling/SchedulerHarness.h"

using namespace yardhill::scheduling;

BOOST_AUTO_TEST_SUITE(EndedJobsTest)

// Periyar, scale-2, 8.7 s: a job that had ended was read again after the store forgot its history.
BOOST_AUTO_TEST_CASE(an_ended_job_is_remembered_for_a_while_and_then_dropped)
{
  const std::string id = "0123456789abcdef";
  scheduler_harness owner;
  owner.add_worker(scheduler_harness::worker("w1"));
  owner.scheduler->add_job(scheduler_harness::job(id, {scheduler_harness::step_of(1)}), owner.now);
  owner.step();
  owner.commit();
  owner.step();
  BOOST_TEST_REQUIRE(owner.starts.size() == 1U);
  owner.answer_hold("w1", {}, {scheduler_harness::ended(1, owner.starts.front(), run_end::done)});
  owner.commit();
  BOOST_TEST(!owner.scheduler->knows(id));
  BOOST_TEST(owner.scheduler->knew(id));
  owner.pass(std::chrono::minutes{6});
  owner.step();
  BOOST_TEST(!owner.scheduler->knew(id));
}

BOOST_AUTO_TEST_SUITE_END()
