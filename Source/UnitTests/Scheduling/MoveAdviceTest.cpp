// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Copies of late runs, and moves of runs from draining workers. The task runs meanwhile, so its
// step may have no waiting task.

#include <algorithm>
#include <string>

#include <boost/test/unit_test.hpp>

#include "Scheduling/AdvisedCell.h"

using namespace yardhill;
using namespace yardhill::scheduling;
using std::chrono::seconds;

namespace
{
constexpr const char* k_job = scheduler_harness::k_job;

struct running_task : advised_cell
{
  static jobs::step_spec speculative_step()
  {
    jobs::step_spec step = step_of(1);
    step.speculative = true;
    return step;
  }

  static jobs::step_spec checkpointing_step()
  {
    jobs::step_spec step = step_of(1);
    step.checkpointing = true;
    step.estimate = seconds{60};
    return step;
  }

  // The task runs on the first worker, and a second worker is added that can take it.
  void start(const std::string& queue, const jobs::step_spec& step)
  {
    add_workers(1);
    submit(k_job, queue, step);
    BOOST_TEST_REQUIRE(play_until([this] { return runs_of(k_job).size() == 1U; }, seconds{2}));
    add_workers(1);
  }

  bool runs_on(const std::string& worker) const
  {
    const std::vector<start_command> runs = runs_of(k_job);
    return std::any_of(runs.begin(), runs.end(),
                       [&worker](const start_command& each)
                       { return each.worker.value == worker; });
  }

  bool moves_within(seconds limit)
  {
    return play_until([this] { return runs_on("w101"); }, limit);
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(MoveAdviceTest)

// Guards against a long-running task that stays on a draining worker, since no advice is requested
// for a step of which no task waits.
BOOST_FIXTURE_TEST_CASE(advice_is_requested_for_a_long_running_task_on_a_draining_worker,
                        running_task)
{
  for (const char* const queue : {k_long_calls, k_short_calls})
  {
    running_task owner;
    owner.start(queue, long_running_step());
    owner.drain(worker_id("w100"));
    BOOST_TEST(owner.moves_within(seconds{4}), "queue with " << queue);
  }
}

// Guards against the same for a task that continues from a checkpoint.
BOOST_FIXTURE_TEST_CASE(advice_is_requested_for_a_checkpointing_task_on_a_draining_worker,
                        running_task)
{
  start(k_short_calls, checkpointing_step());
  drain(worker_id("w100"));
  BOOST_TEST(moves_within(seconds{4}));
}

// Guards against a late run without a copy, since no advice is requested for a step of which no
// task waits.
BOOST_FIXTURE_TEST_CASE(advice_is_requested_for_the_copy_of_a_late_run, running_task)
{
  for (const char* const queue : {k_long_calls, k_short_calls})
  {
    running_task owner;
    owner.start(queue, speculative_step());
    BOOST_TEST(owner.moves_within(seconds{10}), "queue with " << queue);
    BOOST_TEST(owner.runs_on("w100"));
  }
}

// Guards against a late run without a copy while its own worker is the best one for its task.
BOOST_FIXTURE_TEST_CASE(a_copy_starts_elsewhere_if_its_own_worker_has_the_best_score, running_task)
{
  add_workers(1);
  submit("beside", k_no_advice, long_running_step(1, 8000));
  BOOST_TEST_REQUIRE(play_until([this] { return runs_of("beside").size() == 1U; }, seconds{1}));
  submit(k_job, k_no_advice, speculative_step());
  BOOST_TEST_REQUIRE(play_until([this] { return runs_on("w100"); }, seconds{1}));
  add_workers(1);
  BOOST_TEST(moves_within(seconds{10}));
  BOOST_TEST(runs_of(k_job).size() == 2U);
}

// Guards against calls for a copy that name the run's own worker, on which the copy cannot start.
BOOST_FIXTURE_TEST_CASE(calls_for_a_copy_do_not_name_the_worker_of_its_run, running_task)
{
  start(k_long_calls, speculative_step());
  calls.clear();
  moves_within(seconds{10});
  BOOST_TEST_REQUIRE(!calls.empty());
  for (const advice_call& each : calls)
  {
    BOOST_TEST_REQUIRE(each.workers.size() == 1U);
    BOOST_TEST(each.workers.front().value == "w101");
  }
}

BOOST_AUTO_TEST_SUITE_END()
