// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>

#include "Scheduling/SchedulerHarness.h"

using namespace yardhill::scheduling;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr const char* k_job = "0123456789abcdef";

// A queue whose policy names the permitted workers, by advice calls of the given duration.
struct advised_queue : scheduler_harness
{
  void advise(milliseconds per_call)
  {
    yardhill::jobs::queue_policy policy;
    policy.max_attempts = 3;
    policy.advice = {per_call, milliseconds{5}, milliseconds{2000}};
    set_policy(policy);
    scheduler->set_advice_slots({4, 4});
  }

  void begin()
  {
    for (int i = 0; i < 3; ++i)
    {
      step();
      commit();
    }
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(AdviceTest)

// Guards against a first long call (500 ms) that names only the two or three workers with free
// capacity: mostly none of these was permitted.
BOOST_FIXTURE_TEST_CASE(the_first_long_call_names_workers_without_free_capacity_too, advised_queue)
{
  advise(milliseconds{400});
  const std::string running_job = "0000000000000001";
  scheduler->restore_job(job(running_job, {step_of(1, 2000)}), yardhill::jobs::job_progress{}, now);
  add_worker(worker("w1"));
  scheduler->worker_entry(worker("w2", 2000), now);
  step();
  listed_run run;
  run.task = {running_job, {0, 0, 0}};
  run.run = 1;
  answer_hold("w2", {run});
  commit();
  clear();
  scheduler->add_job(job(k_job, {step_of(1, 1000)}), now);
  begin();
  BOOST_TEST_REQUIRE(!questions.empty());
  BOOST_TEST(questions.back().step.job == k_job);
  BOOST_TEST(questions.back().workers.size() == 2U);
}

// Guards against a step that waits forever: under an earlier owner it has begun in one zone, and
// when this owner first requests advice for it, that zone has no suitable worker. Advice then has
// to be requested for workers of other zones.
BOOST_FIXTURE_TEST_CASE(a_step_whose_zone_has_no_worker_gets_advice_for_other_zones, advised_queue)
{
  for (const milliseconds per_call : {milliseconds{10}, milliseconds{400}})
  {
    advised_queue owner;
    owner.advise(per_call);
    yardhill::jobs::job_progress progress;
    progress.state = yardhill::jobs::job_state::active;
    progress.begun[{0, 0, 0}] = "a zone without workers";
    owner.scheduler->restore_job(job(k_job, {step_of(1)}), progress, owner.now);
    owner.scheduler->begin_accounting(owner.now);
    owner.add_worker(worker("w1"));
    owner.begin();
    BOOST_TEST_REQUIRE(owner.questions.size() == 1U);
    BOOST_TEST(owner.questions.front().workers.size() == 1U);
  }
}

BOOST_AUTO_TEST_SUITE_END()
