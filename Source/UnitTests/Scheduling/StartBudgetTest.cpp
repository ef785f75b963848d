// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Guards against an owner that sends starts as fast as it finds free capacity although its
// processor is saturated: its event loop fell behind, leases expired, and tasks were lost on
// healthy workers.

#include <algorithm>
#include <string>

#include <boost/test/unit_test.hpp>

#include "Scheduling/SchedulerHarness.h"

using namespace yardhill::scheduling;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr milliseconds k_late{300};
constexpr milliseconds k_pass{10};

struct budget
{
  start_budget_options options;
  start_budget starts{options};
  time_point now{seconds{1000}};

  // Sends as many starts as the budget allows, but at most a hundred per pass. Returns their
  // number.
  int run(duration span, duration lateness)
  {
    int sent = 0;
    const time_point end = now + span;
    while (now < end)
    {
      now += k_pass;
      starts.begin_pass(lateness, now);
      for (int i = 0; i < 100 && !starts.spent(); ++i, ++sent)
        starts.take();
    }
    return sent;
  }
};

// A late event loop, and a worker with capacity for far more tasks than a paced pass may start.
struct paced : scheduler_harness
{
  static constexpr std::uint32_t k_many = 2000;

  paced()
  {
    add_worker(worker("w1", 2 * k_many * std::int64_t{1000}));
    scheduler->set_loop_lateness(k_late);
  }

  static yardhill::jobs::step_spec wide(std::uint32_t count = k_many)
  {
    yardhill::jobs::step_spec step = step_of(count);
    step.demand.memory_mib = 0;
    return step;
  }

  // Adds the job and makes passes until its first start; the begin mark has to be written before.
  void begin(const char* id, const yardhill::jobs::step_spec& step)
  {
    start_job(id, step);
    for (int i = 0; i < 3 && starts.empty(); ++i)
      next_pass();
    BOOST_TEST_REQUIRE(!starts.empty());
  }

  void next_pass()
  {
    pass(milliseconds{20});
    commit_and_step();
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(StartBudgetTest)

BOOST_FIXTURE_TEST_CASE(a_loop_that_is_on_time_sets_no_limit, budget)
{
  BOOST_TEST(run(seconds{1}, milliseconds{99}) == 10000);
  BOOST_TEST(!starts.bounded());
}

BOOST_FIXTURE_TEST_CASE(a_late_loop_lowers_the_rate_quickly_but_not_below_the_minimum, budget)
{
  run(seconds{1}, milliseconds{0});
  run(milliseconds{100}, k_late);
  BOOST_TEST_REQUIRE(starts.bounded());
  const double first = *starts.rate();
  run(seconds{1}, k_late);
  BOOST_TEST(*starts.rate() < 0.4 * first);
  run(seconds{60}, k_late);
  BOOST_TEST(*starts.rate() == options.min_rate);
  const int sent = run(seconds{10}, k_late);
  BOOST_TEST(sent >= static_cast<int>(9 * options.min_rate));
  BOOST_TEST(sent <= static_cast<int>(11 * options.min_rate));
}

BOOST_FIXTURE_TEST_CASE(the_rate_rises_slowly_until_the_limit_is_removed, budget)
{
  run(seconds{60}, k_late);
  run(seconds{1}, milliseconds{0});
  BOOST_TEST(*starts.rate() <= options.min_rate + 1.1 * options.increase_per_second);
  run(seconds{60}, milliseconds{0});
  BOOST_TEST(!starts.bounded());
}

// A late pass comes long after the previous one. It must not send the starts of the whole pause at
// once, or the next pass would be even later.
BOOST_FIXTURE_TEST_CASE(a_pass_after_a_pause_sends_no_more_than_a_burst, budget)
{
  run(seconds{60}, k_late);
  now += seconds{10};
  starts.begin_pass(k_late, now);
  int sent = 0;
  for (; !starts.spent(); ++sent)
    starts.take();
  BOOST_TEST(sent <= 1 + options.min_rate * 0.1);
}

// Guards against counting starts that were sent before there was a limit: a new owner's first pass
// starts hundreds of tasks; when these counted against the limit set afterwards, nothing was
// started for seconds.
BOOST_FIXTURE_TEST_CASE(starts_sent_without_a_limit_are_no_debt, budget)
{
  now += k_pass;
  starts.begin_pass(milliseconds{0}, now);
  for (int i = 0; i < 1000; ++i)
    starts.take();
  BOOST_TEST(run(milliseconds{500}, k_late) > 100);
}

BOOST_FIXTURE_TEST_CASE(a_large_gang_delays_other_starts_for_a_limited_time, budget)
{
  run(seconds{1}, k_late);
  for (int i = 0; i < 10000; ++i)
    starts.take();
  BOOST_TEST(run(seconds{1}, k_late) > 50);
}

BOOST_FIXTURE_TEST_CASE(a_pass_of_a_late_loop_sends_a_part_of_the_possible_starts, paced)
{
  start_job(k_job, wide());
  BOOST_TEST(starts.size() < 100U);
  const std::size_t before = starts.size();
  next_pass();
  next_pass();
  BOOST_TEST(starts.size() > before);
}

// Holds extend leases, so they are sent in time and before starts, however many starts wait.
BOOST_FIXTURE_TEST_CASE(holds_and_stops_are_not_limited, paced)
{
  begin(k_job, wide());
  pass(seconds{2});
  scheduler->cancel_job(k_job, now);
  clear();
  step();
  BOOST_TEST(!stops.empty());
  answer_hold("w1", {});
  clear();
  pass(milliseconds{20});
  step();
  BOOST_TEST(holds.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(long_running_tasks_start_before_first_starts_of_more_urgent_jobs, paced)
{
  yardhill::jobs::queue_policy urgent;
  urgent.service = "service";
  urgent.max_attempts = 3;
  yardhill::jobs::queue_policy usual = urgent;
  usual.priority = 2;
  scheduler->set_policies({{"queue", urgent}, {"lasting", usual}});
  scheduler->add_job(job(k_job, {wide()}), now);
  yardhill::jobs::step_spec long_running = wide(4);
  long_running.long_running = true;
  yardhill::jobs::accepted_job second = job(k_other_job, {long_running});
  second.queue = "lasting";
  scheduler->add_job(second, now);
  for (int i = 0; i < 10; ++i)
    next_pass();
  const auto of_second =
      std::count_if(starts.begin(), starts.end(),
                    [](const start_command& each) { return each.task.job == k_other_job; });
  BOOST_TEST(of_second == 4);
  BOOST_TEST(starts.size() < k_many);
}

BOOST_FIXTURE_TEST_CASE(jobs_that_have_begun_start_before_first_starts, paced)
{
  begin(k_other_job, wide(40));
  answer_start(starts.front(), call_end::done); // the job counts as begun
  scheduler->add_job(job(k_job, {wide()}), now);
  // Among equally urgent jobs the one with the lower id comes first, which is the begun job here.
  for (int i = 0; i < 4; ++i)
    next_pass();
  const auto first_of_new =
      std::find_if(starts.begin(), starts.end(),
                   [](const start_command& each) { return each.task.job == k_job; });
  const auto last_of_begun =
      std::find_if(starts.rbegin(), starts.rend(),
                   [](const start_command& each) { return each.task.job == k_other_job; })
          .base();
  BOOST_TEST(std::count_if(starts.begin(), starts.end(),
                           [](const start_command& each)
                           { return each.task.job == k_other_job; }) == 40);
  BOOST_TEST((last_of_begun <= first_of_new));
}

// A gang starts as a whole or not at all, so it may exceed the budget of a pass.
BOOST_FIXTURE_TEST_CASE(a_gang_larger_than_the_budget_starts_whole, paced)
{
  yardhill::jobs::step_spec gang = wide(500);
  gang.gang = true;
  start_job(k_job, gang);
  for (int i = 0; i < 20 && starts.empty(); ++i)
    next_pass();
  BOOST_TEST(starts.size() == 500U);
}

BOOST_AUTO_TEST_SUITE_END()
