// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Guards against late jobs that get no advice: jobs whose objective had passed waited 45 s for
// their first advice although most of the cell's capacity was free. Few advice requests can be in
// flight, and the free capacity that they are meant for is assigned to the waiting steps in order
// of urgency. Jobs that can still be in time come first, and if their queue's policy permits them
// nowhere, they request advice again and again. The first `advice` event of a late job came only
// when the younger jobs had ended, and no request for that job was in flight before.

#include <algorithm>
#include <string>

#include <boost/test/unit_test.hpp>

#include "Scheduling/SchedulerHarness.h"

using namespace yardhill::scheduling;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr int k_younger = 12;

// Younger jobs that are permitted nowhere, and a late job that would be permitted.
struct crowded_queue : scheduler_harness
{
  crowded_queue()
  {
    yardhill::jobs::queue_policy policy;
    policy.max_attempts = 3;
    policy.latency_target =
        std::chrono::duration_cast<milliseconds>(now.time_since_epoch()) + seconds{60};
    policy.advice = {milliseconds{10}, milliseconds{1}, milliseconds{2000}};
    set_policy(policy);
    scheduler->set_advice_slots({2, 2});
    add_worker(worker("w1"));
    for (int i = 0; i < k_younger; ++i)
      scheduler->add_job(job("younger-" + std::to_string(i), {step_of(4)}), now);
    auto late_step = step_of(1);
    // Longer than the time left until the objective, so the job cannot be in time.
    late_step.estimate = seconds{500};
    scheduler->add_job(job(k_job, {late_step}), now);
  }

  // Whether advice for the late job is requested within this time.
  bool asked_within(seconds time)
  {
    for (milliseconds passed{0}; passed < time; passed += milliseconds{20})
    {
      pass(milliseconds{20});
      clear();
      commit_and_step();
      answer_hold("w1", {});
      for (const advice_command& each : questions)
      {
        if (each.step.job == k_job)
          return true;
        scheduler->advice_answered({each.step, each.workers, true, {}, milliseconds{2000}, now},
                                   now);
      }
    }
    return false;
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(LateAdviceTest)

BOOST_FIXTURE_TEST_CASE(a_late_job_gets_advice_in_its_turn, crowded_queue)
{
  BOOST_TEST(asked_within(seconds{6}));
}

BOOST_AUTO_TEST_SUITE_END()
