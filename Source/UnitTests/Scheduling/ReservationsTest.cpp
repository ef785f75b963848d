// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "Scheduling/SchedulerHarness.h"

using namespace yardhill::scheduling;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr const char* k_small_job = "0000000000000001";
constexpr const char* k_large_job = "0000000000000002";
constexpr const char* k_later_job = "0000000000000003";

// One worker of 16 processors with half of it taken, and a job that needs all of it.
struct large_task : scheduler_harness
{
  large_task()
  {
    yardhill::jobs::queue_policy policy;
    // The harness's jobs were accepted at time zero.
    policy.latency_target =
        std::chrono::duration_cast<milliseconds>(now.time_since_epoch()) + seconds{30};
    policy.max_attempts = 3;
    set_policy(policy);
    add_worker(worker("w1"));
    start_job(k_small_job, sized(8000, milliseconds{4000}));
    BOOST_TEST_REQUIRE(starts.size() == 1U);
    answer_start(starts.front(), call_end::done);
    answer_hold("w1", {running(starts.front())});
    first = starts.front();
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

  // That a step may begin is written before its first start.
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

  start_command first;
};
} // namespace

BOOST_AUTO_TEST_SUITE(ReservationsTest)

// Further, quiet-1: tasks of a whole worker waited 10 to 20 s while smaller, later ones took each
// room that became free.
BOOST_FIXTURE_TEST_CASE(room_that_a_large_task_waits_for_is_not_taken_by_later_ones, large_task)
{
  start_job(k_later_job, sized(8000, milliseconds{10000}));
  BOOST_TEST(!started(k_later_job));
  pass(milliseconds{3900});
  answer_hold("w1", {}, {ended(1, first, run_outcome::done)});
  begin();
  BOOST_TEST(started(k_large_job));
}

BOOST_FIXTURE_TEST_CASE(what_ends_before_the_room_is_expected_may_start, large_task)
{
  start_job(k_later_job, sized(8000, milliseconds{2000}));
  BOOST_TEST(started(k_later_job));
}

BOOST_FIXTURE_TEST_CASE(what_fits_beside_may_start, large_task)
{
  add_worker(worker("w2", 32000));
  begin();
  // The large task runs on the second worker now, and nothing is kept any more.
  BOOST_TEST(started(k_large_job));
  start_job(k_later_job, sized(8000, milliseconds{10000}));
  BOOST_TEST(started(k_later_job));
}

BOOST_FIXTURE_TEST_CASE(nothing_is_kept_for_a_task_that_would_be_late, large_task)
{
  pass(seconds{60});
  scheduler->set_authority(now + std::chrono::hours{1}, now);
  answer_hold("w1", {running(first)});
  start_job(k_later_job, sized(8000, milliseconds{10000}));
  BOOST_TEST(started(k_later_job));
}

BOOST_AUTO_TEST_SUITE_END()
