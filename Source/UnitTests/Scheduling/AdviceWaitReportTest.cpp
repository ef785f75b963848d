// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// The report of long-running tasks that wait says what became of the requests for advice.

#include <algorithm>
#include <string>

#include <boost/test/unit_test.hpp>

#include "Scheduling/AdvisedCell.h"

using namespace yardhill;
using namespace yardhill::scheduling;
using std::chrono::seconds;

namespace
{
struct reporting_cell : advised_cell
{
  // Whether the task is reported within 10 s with a wait that the check accepts.
  bool reported(const std::function<bool(const task_wait&)>& check)
  {
    const auto matches = [&check](const wait_report::reported_wait& each)
    { return each.task.job == k_job && check(each.wait); };
    return play_until(
        [this, &matches]
        {
          const auto& all = scheduler->waits().reported();
          return std::any_of(all.begin(), all.end(), matches);
        },
        seconds{10});
  }

  // Whether the task is reported to wait for a ticket, with that state of the latest request.
  bool reported_attempt(const std::string& attempt)
  {
    return reported(
        [&attempt](const task_wait& wait)
        { return wait.reason == wait_reason::no_ticket && wait.advice.starts_with(attempt); });
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(AdviceWaitReportTest)

// Guards against a report that does not tell a missing slot for the call from other causes.
BOOST_FIXTURE_TEST_CASE(a_call_without_a_slot_is_reported, reporting_cell)
{
  add_workers(4);
  scheduler->set_advice_slots({1, 1});
  jobs::queue_policy slow = policy_with(long_calls());
  slow.advice->per_call = std::chrono::minutes{1};
  add_queue("slow", slow);
  submit("holds-the-slot", "slow", step_of(1));
  play(seconds{1});
  submit(k_job, k_long_calls, long_running_step());
  BOOST_TEST(reported_attempt("no_slot"));
}

// Guards against a report that does not tell the demand of more urgent steps from other causes.
BOOST_FIXTURE_TEST_CASE(a_step_beyond_the_budget_is_reported, reporting_cell)
{
  add_workers(40);
  jobs::queue_policy less_urgent = policy_with(short_calls());
  less_urgent.priority = 1;
  add_queue("less urgent", less_urgent);
  jobs::queue_policy unanswered = policy_with(short_calls());
  unanswered.advice->per_worker = std::chrono::minutes{1};
  add_queue("unanswered", unanswered);
  permits = [](const std::string& job, const worker_id& worker)
  { return job == k_job && worker.value == "w139"; };
  submit("waits for its reply", "unanswered", step_of(200, 16000));
  play(seconds{1});
  submit(k_job, "less urgent", long_running_step());
  BOOST_TEST(reported_attempt("no_budget"));
}

// Guards against a report that does not tell the pause after a lost reply from other causes.
BOOST_FIXTURE_TEST_CASE(a_pause_after_a_lost_reply_is_reported, reporting_cell)
{
  add_workers(4);
  replies_lost = true;
  submit(k_job, k_long_calls, long_running_step());
  BOOST_TEST(reported_attempt("paused"));
}

// Guards against a report that does not tell a call without a reply yet from other causes.
BOOST_FIXTURE_TEST_CASE(a_call_in_flight_is_reported, reporting_cell)
{
  add_workers(4);
  replies_lost = true;
  submit(k_job, k_long_calls, long_running_step());
  BOOST_TEST(reported_attempt("in_flight; latest call"));
}

// Guards against a report that shows the step's limit per worker as missing capacity.
BOOST_FIXTURE_TEST_CASE(the_step_limit_is_told_apart_from_missing_capacity, reporting_cell)
{
  add_workers(1);
  jobs::step_spec step = long_running_step(2);
  step.max_tasks_per_worker = 1;
  submit(k_job, k_no_advice, step);
  BOOST_TEST(
      reported([](const task_wait& wait) { return wait.reason == wait_reason::step_limit; }));
}

// Guards against a report without the numbers of workers by obstacle.
BOOST_FIXTURE_TEST_CASE(workers_at_the_limit_and_full_workers_are_counted, reporting_cell)
{
  add_workers(1);
  submit(k_other_job, k_no_advice, long_running_step(1, 16000));
  play(seconds{1});
  add_workers(1);
  jobs::step_spec step = long_running_step(2);
  step.max_tasks_per_worker = 1;
  submit(k_job, k_no_advice, step);
  BOOST_TEST(
      reported([](const task_wait& wait)
               { return wait.detail.find("1 step_limit, 1 no_room") != std::string::npos; }));
}

BOOST_AUTO_TEST_SUITE_END()
