// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Advice is scarce and steps are wide: each call takes a fixed time, whatever it names, so a call
// names as many workers as the tasks of the step need.

#include <algorithm>
#include <string>

#include <boost/test/unit_test.hpp>

#include "Scheduling/SchedulerHarness.h"

using namespace yardhill;
using namespace yardhill::scheduling;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr std::int64_t k_task_millis = 9000;
constexpr int k_workers = 90;

// Workers that take one task of k_task_millis each, and calls for advice that take long.
struct scarce_advice : scheduler_harness
{
  scarce_advice()
  {
    jobs::queue_policy policy;
    policy.max_attempts = 3;
    policy.latency_target = milliseconds{1200};
    policy.stretch = 2.2;
    policy.advice = {milliseconds{494}, milliseconds{7}, milliseconds{2500}};
    set_policy(policy);
    scheduler->set_advice_slots({4, 4});
    for (int i = 0; i < k_workers; ++i)
    {
      worker_info info = worker("w" + std::to_string(100 + i), k_task_millis + 1000);
      info.address = {"10.0.1." + std::to_string(i), 80};
      add_worker(info);
    }
    clear();
  }

  // The workers that the first call for a new job of this many tasks names.
  advice_command first_call(const std::string& id, std::uint32_t tasks)
  {
    questions.clear();
    scheduler->add_job(job(id, {step_of(tasks, k_task_millis)}), now);
    step();
    const auto found =
        std::find_if(questions.begin(), questions.end(),
                     [&id](const advice_command& each) { return each.step.job == id; });
    BOOST_TEST_REQUIRE((found != questions.end()));
    return *found;
  }

  // Permits each `one_in`-th of the workers asked about.
  void answer(const advice_command& call, std::size_t one_in)
  {
    advice_answer reply{call.step, call.workers, true, {}, milliseconds{2500}, now};
    for (std::size_t i = 0; i < call.workers.size(); i += one_in)
      reply.permitted.push_back({call.workers[i], "ticket"});
    scheduler->advice_answered(reply, now);
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(WideStepsScarceAdviceTest)

BOOST_FIXTURE_TEST_CASE(one_call_is_enough_for_a_wide_step, scarce_advice)
{
  const advice_command call = first_call(k_job, 21);
  answer(call, 2);
  step();
  commit_and_step();
  step();
  BOOST_TEST(starts.size() == 21U);
}

BOOST_FIXTURE_TEST_CASE(a_narrow_step_names_few_workers, scarce_advice)
{
  BOOST_TEST(first_call(k_job, 2).workers.size() <= 6U);
}

BOOST_FIXTURE_TEST_CASE(no_call_names_more_workers_than_the_platform_allows, scarce_advice)
{
  BOOST_TEST(first_call(k_job, 200).workers.size() <= 100U);
}

BOOST_FIXTURE_TEST_CASE(more_workers_are_named_where_fewer_are_permitted, scarce_advice)
{
  const std::size_t before = first_call("before", 4).workers.size();
  for (int i = 0; i < 20; ++i)
  {
    const std::string id = "learnt-from-" + std::to_string(i);
    answer(first_call(id, 4), 5);
    scheduler->cancel_job(id, now);
  }
  BOOST_TEST(first_call(k_job, 4).workers.size() > before);
}

// What the policy permits does not change, so that only their tickets are asked for again.
BOOST_FIXTURE_TEST_CASE(permitted_workers_are_named_first_when_tickets_have_expired, scarce_advice)
{
  const advice_command first = first_call(k_job, 4);
  answer(first, 2);
  pass(seconds{3});
  questions.clear();
  step();
  BOOST_TEST_REQUIRE(questions.size() == 1U);
  const std::vector<worker_id>& again = questions.front().workers;
  BOOST_TEST_REQUIRE(again.size() >= 2U);
  for (std::size_t i = 0; i < 2; ++i)
  {
    const auto at = std::find(first.workers.begin(), first.workers.end(), again[i]);
    BOOST_TEST_REQUIRE((at != first.workers.end()));
    BOOST_TEST((at - first.workers.begin()) % 2 == 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()
