// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// What a task costs in calls to its worker: a start, and one hold that brings its end and takes the
// one before. Pattern: hundreds of workers under one owner, whose link or processor is the
// bottleneck, so that each call more is one that everybody waits for. On a link of 2 Mbit/s with
// 120 workers the owner's calls were a stop for each task that had ended (23 of 100 calls), an
// acknowledgement apart from the next hold (15 of 100), and copies of starts whose answers were
// only slow (up to 12 for one start).

#include <boost/test/unit_test.hpp>

#include "Scheduling/SchedulerHarness.h"

using namespace yardhill::scheduling;
using std::chrono::milliseconds;

namespace
{
struct started_task : scheduler_harness
{
  started_task()
  {
    send_first_start();
    answer_start(starts.front(), call_end::done);
    step();
    BOOST_TEST_REQUIRE(holds.size() == 1U);
  }

  void slow_answers(milliseconds patience, milliseconds round_trip)
  {
    scheduler->set_request_times(patience, round_trip);
  }
};

struct unanswered_start : scheduler_harness
{
  unanswered_start() { send_first_start(); }

  // How often the start is sent in the time.
  std::size_t sends_within(milliseconds span)
  {
    starts.clear();
    for (milliseconds passed{0}; passed < span; passed += milliseconds{25})
    {
      pass(milliseconds{25});
      step();
    }
    return starts.size();
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(CallsPerTaskTest)

BOOST_FIXTURE_TEST_CASE(a_task_that_has_ended_is_not_stopped, started_task)
{
  answer_hold("w1", {}, {ended(1, starts.front(), run_outcome::done)});
  step();
  BOOST_TEST(stops.empty());
  BOOST_TEST((scheduler->state_of(k_job) == yardhill::jobs::job_state::completed));
}

BOOST_FIXTURE_TEST_CASE(a_run_that_has_failed_for_good_is_not_stopped, started_task)
{
  yardhill::jobs::queue_policy once;
  once.max_attempts = 1;
  set_policy(once);
  answer_hold("w1", {}, {ended(1, starts.front(), run_outcome::failed)});
  step();
  BOOST_TEST(stops.empty());
  BOOST_TEST((scheduler->state_of(k_job) == yardhill::jobs::job_state::failed));
}

BOOST_FIXTURE_TEST_CASE(the_call_that_acknowledges_an_end_waits_for_the_next_one, started_task)
{
  holds.clear();
  answer_hold("w1", {}, {ended(1, starts.front(), run_outcome::done)});
  commit_and_step();
  BOOST_TEST_REQUIRE(holds.size() == 1U);
  BOOST_TEST(holds.front().acknowledged == 1U);
  BOOST_TEST(holds.front().wait.count() > 0);
}

BOOST_FIXTURE_TEST_CASE(an_end_that_is_not_written_yet_is_not_waited_on, started_task)
{
  holds.clear();
  answer_hold("w1", {}, {ended(1, starts.front(), run_outcome::done)});
  pass(options.hold_refresh);
  step();
  BOOST_TEST_REQUIRE(holds.size() == 1U);
  BOOST_TEST(holds.front().acknowledged == 0U);
  BOOST_TEST(holds.front().wait.count() == 0);
}

BOOST_FIXTURE_TEST_CASE(lost_starts_are_sent_again_soon_while_answers_are_fast, unanswered_start)
{
  scheduler->set_request_times(milliseconds{280}, milliseconds{3});
  BOOST_TEST(sends_within(milliseconds{1250}) == 4U);
}

BOOST_FIXTURE_TEST_CASE(starts_are_sent_again_ever_later_while_answers_are_slow, unanswered_start)
{
  scheduler->set_request_times(milliseconds{500}, milliseconds{350});
  // After 500, 1,500 and 3,500 ms.
  BOOST_TEST(sends_within(milliseconds{4000}) == 3U);
}

// A ticket that is over stays over: no copy of the start can be carried out any more, and only an
// earlier one can have been. The start was sent up to 18 times with it, for a whole lease.
BOOST_FIXTURE_TEST_CASE(a_start_whose_ticket_is_over_is_not_sent_again, unanswered_start)
{
  BOOST_TEST_REQUIRE(sends_within(milliseconds{325}) == 1U);
  holds.clear();
  answer_start(starts.front(), call_end::bad_ticket);
  BOOST_TEST(sends_within(milliseconds{2000}) == 0U);
  BOOST_TEST_REQUIRE(!holds.empty());
  BOOST_TEST(holds.front().wait.count() == 0); // the lists are asked for at once
}

BOOST_FIXTURE_TEST_CASE(its_task_is_started_anew_once_the_lists_do_not_show_it, unanswered_start)
{
  BOOST_TEST_REQUIRE(sends_within(milliseconds{325}) == 1U);
  const time_point before = now;
  pass(milliseconds{5});
  answer_start(starts.front(), call_end::bad_ticket);
  starts.clear();
  hold_answer earlier;
  earlier.worker = worker_id("w1");
  earlier.end = call_end::done;
  earlier.clock = clock();
  earlier.sent = before; // an earlier copy may have come between
  scheduler->hold_answered(earlier, now);
  step();
  BOOST_TEST(starts.empty());
  pass(milliseconds{5});
  answer_hold("w1", {});
  step();
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  BOOST_TEST(starts.front().run == 2U);
}

BOOST_FIXTURE_TEST_CASE(its_task_goes_on_if_an_earlier_copy_was_carried_out, unanswered_start)
{
  BOOST_TEST_REQUIRE(sends_within(milliseconds{325}) == 1U);
  const start_command order = starts.front();
  answer_start(order, call_end::bad_ticket);
  pass(milliseconds{5});
  starts.clear();
  answer_hold("w1", {running(order)});
  step();
  BOOST_TEST(starts.empty());
  BOOST_TEST(stops.empty());
}

// The same without any answer: the ticket's time is known here.
BOOST_FIXTURE_TEST_CASE(a_start_is_not_sent_again_after_its_tickets_time, scheduler_harness)
{
  yardhill::jobs::queue_policy advised;
  advised.max_attempts = 3;
  const yardhill::jobs::queue_policy::advice_policy times;
  advised.advice = times;
  set_policy(advised);
  add_worker(worker("w1"));
  start_job(k_job, step_of(1));
  BOOST_TEST_REQUIRE(questions.size() == 1U);
  advice_answer answer;
  answer.step = questions.front().step;
  answer.asked = {worker_id("w1")};
  answer.answered = true;
  answer.permitted = {{worker_id("w1"), "ticket"}};
  answer.valid = milliseconds{1000};
  answer.received = now;
  scheduler->advice_answered(answer, now);
  step();
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  const auto sends_for = [this](milliseconds span)
  {
    starts.clear();
    for (milliseconds passed{0}; passed < span; passed += milliseconds{25})
    {
      pass(milliseconds{25});
      step();
    }
    return starts.size();
  };
  BOOST_TEST(sends_for(milliseconds{1100}) == 3U);
  holds.clear();
  BOOST_TEST(sends_for(milliseconds{2000}) == 0U);
  BOOST_TEST(!holds.empty());
}

BOOST_AUTO_TEST_SUITE_END()
