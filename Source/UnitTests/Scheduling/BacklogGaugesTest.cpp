// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// The gauges that show how far an owner is behind.

#include <boost/test/unit_test.hpp>

#include "Scheduling/Backlog.h"
#include "Scheduling/SchedulerHarness.h"

using namespace yardhill::scheduling;
using std::chrono::milliseconds;
using std::chrono::seconds;
using yardhill::common::gauge;

BOOST_AUTO_TEST_SUITE(BacklogGaugesTest)

BOOST_FIXTURE_TEST_CASE(waiting_tasks_are_counted_with_the_age_of_the_oldest, scheduler_harness)
{
  step();
  scheduler->add_job(job(k_job, {step_of(3)}), now);
  pass(seconds{1});
  step();
  scheduler->add_job(job(k_other_job, {step_of(2)}), now);
  pass(seconds{4});
  step();
  BOOST_TEST(metrics.value(gauge::tasks_waiting) == 5U);
  BOOST_TEST(metrics.value(gauge::oldest_wait_ms) == 4000U);
}

BOOST_FIXTURE_TEST_CASE(a_step_that_depends_on_another_does_not_wait, scheduler_harness)
{
  auto second = step_of(4);
  second.depends_on = {0};
  scheduler->add_job(job(k_job, {step_of(1), second}), now);
  step();
  BOOST_TEST(metrics.value(gauge::tasks_waiting) == 1U);
}

BOOST_FIXTURE_TEST_CASE(an_age_begins_anew_once_nothing_waits, scheduler_harness)
{
  scheduler->add_job(job(k_job, {step_of(1)}), now);
  step();
  pass(seconds{3});
  add_worker(worker("w1"));
  commit_and_step();
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  pass(seconds{1});
  step();
  BOOST_TEST(metrics.value(gauge::tasks_waiting) == 0U);
  BOOST_TEST(metrics.value(gauge::oldest_wait_ms) == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_hold_that_has_no_answer_in_time_is_overdue, scheduler_harness)
{
  send_first_start();
  answer_start(starts.front(), call_end::done);
  answer_hold("w1", {running(starts.front())});
  step();
  const auto sent = now;
  pass(seconds{3});
  step();
  BOOST_TEST(metrics.value(gauge::holds_overdue) == 1U);
  const auto overdue = now - sent - options.hold_wait - options.hold_retry;
  BOOST_TEST(metrics.value(gauge::hold_overdue_ms) ==
             static_cast<std::uint64_t>(yardhill::common::to_milliseconds(overdue).count()));
  answer_hold("w1", {running(starts.front())});
  step();
  pass(seconds{1});
  step();
  BOOST_TEST(metrics.value(gauge::holds_overdue) == 0U);
}

// The owner repeats the holds to a silent worker in time, so the worker is at fault, not the owner.
BOOST_FIXTURE_TEST_CASE(a_silent_worker_is_counted_apart_from_overdue_holds, scheduler_harness)
{
  send_first_start();
  answer_start(starts.front(), call_end::done);
  answer_hold("w1", {running(starts.front())});
  for (int i = 0; i < 8; ++i)
  {
    fail_hold("w1", call_end::unanswered);
    pass(milliseconds{500});
    step();
  }
  BOOST_TEST(metrics.value(gauge::holds_overdue) == 0U);
  BOOST_TEST(metrics.value(gauge::workers_silent) == 1U);
}

BOOST_FIXTURE_TEST_CASE(workers_without_runs_need_no_holds, scheduler_harness)
{
  add_worker(worker("w1"));
  pass(seconds{30});
  step();
  BOOST_TEST(metrics.value(gauge::holds_overdue) == 0U);
}

BOOST_FIXTURE_TEST_CASE(an_empty_backlog_clears_the_gauges, scheduler_harness)
{
  scheduler->add_job(job(k_job, {step_of(3)}), now);
  step();
  BOOST_TEST_REQUIRE(metrics.value(gauge::tasks_waiting) == 3U);
  publish({}, metrics);
  BOOST_TEST(metrics.value(gauge::tasks_waiting) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
