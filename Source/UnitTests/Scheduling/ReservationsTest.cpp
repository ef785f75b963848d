// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "Scheduling/AdvisedCell.h"
#include "Scheduling/SchedulerHarness.h"

using namespace yardhill::scheduling;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr const char* k_small_job = "0000000000000001";
constexpr const char* k_large_job = "0000000000000002";
constexpr const char* k_later_job = "0000000000000003";

// One worker of 16 processors, half of them used by a task, and a waiting job that needs all 16.
struct large_task : scheduler_harness
{
  large_task()
  {
    yardhill::jobs::queue_policy policy;
    // The latency target counts from the jobs' acceptance, which the harness sets to time zero.
    policy.latency_target =
        std::chrono::duration_cast<milliseconds>(now.time_since_epoch()) + seconds{30};
    policy.max_attempts = 3;
    set_policy(policy);
    add_worker(worker("w1"));
    start_job(k_small_job, sized(8000, milliseconds{4000}));
    BOOST_TEST_REQUIRE(starts.size() == 1U);
    answer_start(starts.front(), call_end::done);
    answer_hold("w1", {running(starts.front())});
    small_start = starts.front();
    clear();
    start_job(k_large_job, sized(16000, milliseconds{1000}));
    BOOST_TEST_REQUIRE(starts.empty());
  }

  static yardhill::jobs::step_spec sized(std::int64_t cpu_millis, milliseconds estimate)
  {
    yardhill::jobs::step_spec spec = step_of(1, cpu_millis);
    spec.estimate = estimate;
    return spec;
  }

  // A step's begin mark has to be written before its first start.
  void begin()
  {
    step();
    commit();
    step();
  }

  bool started(const char* job) const
  {
    return std::any_of(starts.begin(), starts.end(),
                       [job](const start_command& each) { return each.task.job == job; });
  }

  start_command small_start;
};
} // namespace

BOOST_AUTO_TEST_SUITE(ReservationsTest)

// Guards against tasks that need a whole worker waiting 10 to 20 s, because smaller tasks submitted
// later took all capacity that became free.
BOOST_FIXTURE_TEST_CASE(later_tasks_do_not_take_capacity_that_a_large_task_waits_for, large_task)
{
  start_job(k_later_job, sized(8000, milliseconds{10000}));
  BOOST_TEST(!started(k_later_job));
  pass(milliseconds{3900});
  answer_hold("w1", {}, {ended(1, small_start, run_outcome::done)});
  begin();
  BOOST_TEST(started(k_large_job));
}

BOOST_FIXTURE_TEST_CASE(a_task_that_ends_before_the_reserved_time_may_start, large_task)
{
  start_job(k_later_job, sized(8000, milliseconds{2000}));
  BOOST_TEST(started(k_later_job));
}

BOOST_FIXTURE_TEST_CASE(a_task_that_fits_beside_the_large_one_may_start, large_task)
{
  add_worker(worker("w2", 32000));
  begin();
  // The large task runs on the second worker now, so there is no reservation any more.
  BOOST_TEST(started(k_large_job));
  start_job(k_later_job, sized(8000, milliseconds{10000}));
  BOOST_TEST(started(k_later_job));
}

BOOST_FIXTURE_TEST_CASE(nothing_is_reserved_for_a_task_that_would_be_late, large_task)
{
  pass(seconds{60});
  scheduler->set_authority(now + std::chrono::hours{1}, now);
  answer_hold("w1", {running(small_start)});
  start_job(k_later_job, sized(8000, milliseconds{10000}));
  BOOST_TEST(started(k_later_job));
}

// Guards against capacity that no task can use: it was reserved for a step that already has as many
// tasks on the worker as it allows.
BOOST_FIXTURE_TEST_CASE(a_worker_at_the_step_limit_is_not_reserved_for_the_step, advised_cell)
{
  add_workers(1);
  yardhill::jobs::step_spec limited = long_running_step(2, 8000);
  limited.max_tasks_per_worker = 1;
  submit(k_large_job, k_no_advice, limited);
  BOOST_TEST_REQUIRE(play_until([this] { return runs_of(k_large_job).size() == 1U; }, seconds{1}));
  submit(k_later_job, k_no_advice, long_running_step(1, 8000));
  BOOST_TEST(play_until([this] { return runs_of(k_later_job).size() == 1U; }, seconds{3}));
}

BOOST_AUTO_TEST_SUITE_END()
