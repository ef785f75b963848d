// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Workers whose room shrinks and grows again while they run. One whose room has shrunk below what
// runs there has less than nothing free; taken from the cell's free room, that left none for
// others: while a few workers were small, no queue with a policy was advised, with half of the cell
// idle.

#include <boost/test/unit_test.hpp>

#include "Scheduling/SchedulerHarness.h"

using namespace yardhill::scheduling;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
// w1 has 16 processors and runs 12 tasks of one; its room shrinks to two processors.
struct shrunk_worker : scheduler_harness
{
  shrunk_worker()
  {
    add_worker(worker("w1"));
    start_job(k_job, step_of(12));
    BOOST_TEST_REQUIRE(starts.size() == 12U);
    order = starts;
    answer_all_running();
    set_room(2000);
  }

  void set_room(std::int64_t cpu_millis)
  {
    clear();
    scheduler->worker_entry(worker("w1", cpu_millis), now);
    step();
  }

  void answer_all_running()
  {
    std::vector<listed_run> runs;
    for (const start_command& each : order)
    {
      answer_start(each, call_end::done);
      runs.push_back(running(each));
    }
    answer_hold("w1", runs);
  }

  std::vector<start_command> order;
};
} // namespace

BOOST_AUTO_TEST_SUITE(ShrunkRoomTest)

BOOST_FIXTURE_TEST_CASE(nothing_is_started_over_it_and_what_runs_goes_on, shrunk_worker)
{
  start_job(k_other_job, step_of(1));
  BOOST_TEST(starts.empty());
  BOOST_TEST(stops.empty());
}

BOOST_FIXTURE_TEST_CASE(what_waits_starts_when_it_grows_again, shrunk_worker)
{
  start_job(k_other_job, step_of(1));
  set_room(16000);
  commit_and_step();
  BOOST_TEST(starts.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_task_that_asks_for_no_processor_is_not_started_over_it, shrunk_worker)
{
  auto filling = step_of(1);
  filling.uses_idle_cpu = true;
  start_job(k_other_job, filling);
  BOOST_TEST(starts.empty());
}

BOOST_FIXTURE_TEST_CASE(it_takes_nothing_of_other_workers_room, shrunk_worker)
{
  add_worker(worker("w2", 8000));
  BOOST_TEST(scheduler->load().free_cpu == 8000);
}

BOOST_FIXTURE_TEST_CASE(queues_with_a_policy_are_advised_on_other_workers, shrunk_worker)
{
  add_worker(worker("w2", 8000));
  yardhill::jobs::queue_policy policy;
  policy.max_attempts = 3;
  policy.advice = {milliseconds{10}, milliseconds{5}, milliseconds{2000}};
  set_policy(policy);
  scheduler->set_advice_slots({4, 4});
  clear();
  start_job(k_other_job, step_of(1));
  BOOST_TEST_REQUIRE(questions.size() == 1U);
  BOOST_TEST(questions.front().workers.front().value == "w2");
}

BOOST_FIXTURE_TEST_CASE(an_owner_that_takes_over_meanwhile_finds_it_full, takeover_harness)
{
  restore_claim("w1", {{"10.0.0.9", 80}, "", false, {}});
  restore_begun(k_job);
  scheduler->worker_entry(worker("w1", 500), now);
  begin();
  answer_hold("w1", {earlier_run()});
  commit_and_step();
  start_job(k_other_job, step_of(1));
  BOOST_TEST(starts.empty());
  BOOST_TEST(stops.empty());
}

BOOST_AUTO_TEST_SUITE_END()
