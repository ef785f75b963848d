// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// The scheduler's report of why long-running tasks do not run.

#include <set>

#include <boost/test/unit_test.hpp>

#include "Scheduling/SchedulerHarness.h"

using namespace yardhill::scheduling;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
yardhill::jobs::step_spec long_running_step(std::uint32_t count = 1, std::int64_t cpu_millis = 1000)
{
  yardhill::jobs::step_spec step = scheduler_harness::step_of(count, cpu_millis);
  step.long_running = true;
  return step;
}

template<class harness>
struct reporting : harness
{
  // Makes five passes, one a second. Tasks that have not run for more than three seconds are
  // reported.
  void wait()
  {
    for (int i = 0; i < 5; ++i)
    {
      this->pass(seconds{1});
      this->step();
    }
  }

  task_wait only_wait()
  {
    const auto& reported = this->scheduler->waits().reported();
    BOOST_TEST_REQUIRE(reported.size() == 1U);
    BOOST_TEST(reported.front().task.job == harness::k_job);
    BOOST_TEST((reported.front().waited > wait_report::k_report_after));
    return reported.front().wait;
  }

  std::string only_reason() { return std::string(to_text(only_wait().reason)); }
};

using owner = reporting<scheduler_harness>;

// A worker whose only task runs.
struct running_owner : owner
{
  running_owner()
  {
    send_first_start(long_running_step());
    answer_start(starts.front(), call_end::done);
    answer_hold("w1", {running(starts.front())});
    step();
  }
};

struct taken_over : reporting<takeover_harness>
{
  taken_over()
  {
    scheduler->worker_entry(worker("w1"), now);
    scheduler->worker_entry(worker("w2"), now);
    scheduler->restore_job(job(k_job, {long_running_step()}), begun(), now);
    begin();
    answer_hold("w1", {});
    commit();
  }
};

yardhill::jobs::queue_policy with_advice()
{
  yardhill::jobs::queue_policy policy;
  policy.advice = {milliseconds{20}, milliseconds{0}, seconds{60}};
  return policy;
}
} // namespace

BOOST_AUTO_TEST_SUITE(WaitReportTest)

BOOST_FIXTURE_TEST_CASE(a_task_that_runs_is_not_reported, running_owner)
{
  for (int i = 0; i < 8; ++i)
  {
    pass(seconds{1});
    answer_hold("w1", {running(starts.front())});
    step();
  }
  BOOST_TEST(scheduler->waits().waiting() == 0U);
  BOOST_TEST(metrics.value(yardhill::common::gauge::lasting_waiting) == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_task_that_is_not_long_running_is_not_reported, owner)
{
  scheduler->add_job(job(k_job, {step_of(1)}), now);
  wait();
  BOOST_TEST(scheduler->waits().waiting() == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_run_on_a_silent_worker_is_reported_with_its_lease, running_owner)
{
  fail_hold("w1", call_end::unanswered);
  wait();
  const task_wait reported = only_wait();
  BOOST_TEST((reported.reason == wait_reason::run_silent));
  BOOST_TEST(reported.worker == "w1");
  BOOST_TEST(reported.zone == "zone");
  BOOST_TEST((reported.since_heard == seconds{5}));
  BOOST_TEST((reported.lease_remaining > seconds{2}));
  BOOST_TEST((reported.lease_remaining < seconds{3}));
}

// The owner's own holds are late; no call to the worker was left unanswered.
BOOST_FIXTURE_TEST_CASE(a_run_whose_hold_is_overdue_is_reported_as_such, running_owner)
{
  wait();
  pass(seconds{1}); // still within the lease
  step();
  BOOST_TEST(only_reason() == "run_unheld");
  BOOST_TEST(metrics.value(yardhill::common::gauge::holds_overdue) == 1U);
  BOOST_TEST(metrics.value(yardhill::common::gauge::workers_silent) == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_start_without_an_answer_is_reported, owner)
{
  send_first_start(long_running_step());
  wait();
  BOOST_TEST(only_reason() == "run_unanswered");
}

BOOST_FIXTURE_TEST_CASE(
    a_task_of_an_earlier_owner_is_reported_with_the_worker_that_has_not_answered, taken_over)
{
  wait();
  const task_wait reported = only_wait();
  BOOST_TEST((reported.reason == wait_reason::unaccounted));
  BOOST_TEST(reported.worker == "w2");
  BOOST_TEST(reported.workers == 1U);
  BOOST_TEST((reported.lease_remaining == seconds{11})); // of the earlier owner's 16 s
}

BOOST_FIXTURE_TEST_CASE(a_task_whose_end_is_unknown_is_reported_to_wait_for_a_renewal, taken_over)
{
  scheduler->set_authority(now + seconds{40}, now);
  for (int i = 0; i < 4; ++i)
    wait();
  BOOST_TEST(only_reason() == "renewal");
}

BOOST_FIXTURE_TEST_CASE(an_owner_without_authority_is_reported, owner)
{
  add_worker(worker("w1"));
  scheduler->add_job(job(k_job, {long_running_step()}), now);
  scheduler->set_authority(now, now);
  wait();
  const task_wait reported = only_wait();
  BOOST_TEST((reported.reason == wait_reason::may_not_place));
  BOOST_TEST(reported.detail == "the owner's authority has ended");
  BOOST_TEST((reported.lease_remaining == -seconds{5}));
}

BOOST_FIXTURE_TEST_CASE(a_partition_that_is_being_released_is_reported, owner)
{
  add_worker(worker("w1"));
  scheduler->add_job(job(k_job, {long_running_step()}), now);
  scheduler->end_placing();
  wait();
  BOOST_TEST(only_wait().detail == "the partition is being released");
}

BOOST_FIXTURE_TEST_CASE(a_step_whose_begin_mark_is_not_written_is_reported, owner)
{
  add_worker(worker("w1"));
  scheduler->add_job(job(k_job, {long_running_step()}), now);
  wait();
  BOOST_TEST(only_reason() == "begin_mark");
  BOOST_TEST(only_wait().detail.find("the begin mark waits for a commit") == 0U);
}

BOOST_FIXTURE_TEST_CASE(missing_capacity_is_reported_with_the_number_of_workers, owner)
{
  add_worker(worker("w1"));
  start_job(k_other_job, step_of(2, 8000));
  BOOST_TEST_REQUIRE(starts.size() == 2U);
  start_job(k_job, long_running_step());
  wait();
  const task_wait reported = only_wait();
  BOOST_TEST((reported.reason == wait_reason::no_room));
  BOOST_TEST(reported.workers == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_task_larger_than_every_worker_is_reported, owner)
{
  add_worker(worker("w1"));
  start_job(k_job, long_running_step(1, 32000));
  wait();
  BOOST_TEST(only_reason() == "worker_unsuitable");
}

BOOST_FIXTURE_TEST_CASE(advice_in_flight_is_reported, owner)
{
  set_policy(with_advice());
  scheduler->set_advice_slots({4, 4});
  add_worker(worker("w1"));
  start_job(k_job, long_running_step());
  BOOST_TEST_REQUIRE(questions.size() == 1U);
  wait();
  const task_wait reported = only_wait();
  BOOST_TEST((reported.reason == wait_reason::no_ticket));
  BOOST_TEST(reported.detail.find("an advice request is in flight") == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_policy_that_permits_no_worker_is_reported, owner)
{
  set_policy(with_advice());
  scheduler->set_advice_slots({4, 4});
  add_worker(worker("w1"));
  start_job(k_job, long_running_step());
  BOOST_TEST_REQUIRE(questions.size() == 1U);
  advice_answer answer;
  answer.step = questions.front().step;
  answer.asked = questions.front().workers;
  answer.answered = true;
  answer.received = now;
  scheduler->advice_answered(answer, now);
  wait();
  BOOST_TEST(only_reason() == "no_worker");
}

BOOST_FIXTURE_TEST_CASE(of_many_tasks_each_is_reported_in_turn_and_the_rest_is_counted, owner)
{
  add_worker(worker("w1"));
  scheduler->add_job(job(k_job, {long_running_step(25)}), now);
  wait();
  std::set<std::uint32_t> reported;
  for (int i = 0; i < 3; ++i)
  {
    BOOST_TEST(scheduler->waits().waiting() == 25U);
    BOOST_TEST(scheduler->waits().reported().size() == wait_report::k_max_reported);
    for (const wait_report::reported_wait& each : scheduler->waits().reported())
      reported.insert(each.task.place.index);
    pass(seconds{1});
    step();
  }
  BOOST_TEST(reported.size() == 25U);
  BOOST_TEST(metrics.value(yardhill::common::gauge::lasting_waiting) == 25U);
  BOOST_TEST(metrics.value(yardhill::common::gauge::lasting_wait_ms) >= 5000U);
}

BOOST_FIXTURE_TEST_CASE(reported_tasks_do_not_change_within_a_second, owner)
{
  add_worker(worker("w1"));
  scheduler->add_job(job(k_job, {long_running_step(25)}), now);
  wait();
  const std::uint32_t first = scheduler->waits().reported().front().task.place.index;
  pass(milliseconds{500});
  step();
  BOOST_TEST(scheduler->waits().reported().front().task.place.index == first);
}

BOOST_AUTO_TEST_SUITE_END()
