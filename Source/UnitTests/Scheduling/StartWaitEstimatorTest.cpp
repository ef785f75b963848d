// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Guards against an owner that accepts nearly all jobs of a day although its processor is
// saturated: most jobs began when they were worth nothing any more, and delayed those that still
// were worth something. Full workers alone are no reason to refuse jobs, because their queue
// advances as tasks end.

#include <string>

#include <boost/test/unit_test.hpp>

#include "Scheduling/SchedulerHarness.h"

using namespace yardhill::scheduling;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr milliseconds k_late{300};

struct loaded : scheduler_harness
{
  loaded()
  {
    yardhill::jobs::queue_policy policy;
    policy.max_attempts = 3;
    policy.latency_target = seconds{60};
    set_policy(policy);
  }

  void add_jobs(int count, std::int64_t cpu_millis)
  {
    const yardhill::jobs::wall_time wall{std::chrono::hours{1}};
    scheduler->set_wall_clock(wall, now);
    for (int i = 0; i < count; ++i)
    {
      yardhill::jobs::accepted_job each =
          job("job-" + std::to_string(10000 + i), {step_of(4, cpu_millis)});
      each.accepted_at = wall;
      scheduler->add_job(each, now);
    }
  }

  // Adds a worker with capacity for all tasks.
  void add_wide_worker()
  {
    worker_info wide = worker("w1", 100'000'000);
    wide.capacity.memory_mib = 100'000'000;
    add_worker(wide);
  }

  void play(duration span, duration lateness)
  {
    scheduler->set_loop_lateness(lateness);
    for (const time_point end = now + span; now < end;)
    {
      pass(milliseconds{25});
      commit_and_step();
      for (const start_command& each : starts)
        answer_start(each, call_end::done);
      started += starts.size();
      starts.clear();
    }
  }

  std::size_t started = 0;

  bool overloaded() { return !scheduler->start_waits(now).empty(); }
};
} // namespace

BOOST_AUTO_TEST_SUITE(StartWaitEstimatorTest)

BOOST_FIXTURE_TEST_CASE(full_workers_are_no_overload, loaded)
{
  add_worker(worker("w1"));
  add_jobs(200, 8000);
  play(seconds{5}, milliseconds{0});
  BOOST_TEST(!overloaded());
}

BOOST_FIXTURE_TEST_CASE(full_workers_are_none_beside_a_late_loop_either, loaded)
{
  add_worker(worker("w1"));
  add_jobs(200, 8000);
  play(seconds{5}, k_late);
  BOOST_TEST(!overloaded());
}

BOOST_FIXTURE_TEST_CASE(starts_that_wait_only_for_the_loop_are_an_overload, loaded)
{
  add_wide_worker();
  add_jobs(2000, 1);
  play(milliseconds{500}, k_late);
  BOOST_TEST(!overloaded()); // it may be a short stall of the loop
  play(seconds{4}, k_late);
  BOOST_TEST_REQUIRE(overloaded());
  // The owner sends about 100 starts a second, and each job needs four.
  const milliseconds wait = scheduler->start_waits(now).at(0);
  BOOST_TEST(wait.count() > 30000);
  BOOST_TEST(wait.count() < 120000);
}

BOOST_FIXTURE_TEST_CASE(the_overload_ends_some_time_after_the_last_start_that_waited, loaded)
{
  add_wide_worker();
  add_jobs(200, 1);
  play(seconds{4}, k_late);
  BOOST_TEST_REQUIRE(overloaded());
  while (started < 800U)
    play(milliseconds{25}, k_late);
  play(seconds{1}, milliseconds{0});
  BOOST_TEST(overloaded());
  play(seconds{2}, milliseconds{0});
  BOOST_TEST(!overloaded());
}

BOOST_AUTO_TEST_SUITE_END()
