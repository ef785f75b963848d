// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// A worker whose entry is not valid at present: another writer has put something in its place.

#include <boost/test/unit_test.hpp>

#include "Scheduling/SchedulerHarness.h"

using namespace yardhill::scheduling;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(InvalidEntryTest)

BOOST_FIXTURE_TEST_CASE(nothing_new_is_started_there, scheduler_harness)
{
  add_worker(worker("w1"));
  scheduler->worker_entry_invalid(worker_id("w1"));
  start_job(k_job, step_of(1));
  BOOST_TEST(starts.empty());
  scheduler->worker_entry(worker("w1"), now);
  step();
  commit_and_step(); // that the step has begun
  BOOST_TEST(starts.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(others_are_used_on, scheduler_harness)
{
  add_worker(worker("w1"));
  add_worker(worker("w2"));
  scheduler->worker_entry_invalid(worker_id("w1"));
  start_job(k_job, step_of(3));
  BOOST_TEST_REQUIRE(starts.size() == 3U);
  for (const start_command& each : starts)
    BOOST_TEST(each.worker.value == "w2");
}

BOOST_FIXTURE_TEST_CASE(what_runs_there_is_followed_to_its_end, scheduler_harness)
{
  send_first_start();
  answer_start(starts.front(), call_end::done);
  step();
  scheduler->worker_entry_invalid(worker_id("w1"));
  BOOST_TEST_REQUIRE(!holds.empty());
  holds.clear();
  answer_hold("w1", {running(starts.front())});
  step();
  BOOST_TEST_REQUIRE(holds.size() == 1U); // its lease is extended
  BOOST_TEST(holds.front().lease_end.has_value());
  BOOST_TEST(stops.empty());
  answer_hold("w1", {}, {ended(1, starts.front(), run_outcome::done)});
  BOOST_TEST((scheduler->state_of(k_job) == yardhill::jobs::job_state::completed));
}

BOOST_FIXTURE_TEST_CASE(an_entry_of_no_known_worker_changes_nothing, scheduler_harness)
{
  add_worker(worker("w1"));
  scheduler->worker_entry_invalid(worker_id("w9"));
  start_job(k_job, step_of(1));
  BOOST_TEST(starts.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
