// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// An owner at the bound of its processor sent starts as fast as it found room: its loop fell
// behind, leases lapsed and tasks were lost whose workers were sound.

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

  // As many starts as it bears, over some time; a hundred in a pass without a bound.
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

// More tasks than a paced pass may start, and room for all of them.
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

  // The first passes have it written that the job begins.
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

BOOST_FIXTURE_TEST_CASE(a_loop_that_is_on_time_bounds_nothing, budget)
{
  BOOST_TEST(run(seconds{1}, milliseconds{99}) == 10000);
  BOOST_TEST(!starts.bounded());
}

BOOST_FIXTURE_TEST_CASE(a_late_loop_lowers_the_rate_quickly_and_never_to_nothing, budget)
{
  run(seconds{1}, milliseconds{0});
  run(milliseconds{100}, k_late);
  BOOST_TEST_REQUIRE(starts.bounded());
  const double first = *starts.rate();
  run(seconds{1}, k_late);
  BOOST_TEST(*starts.rate() < 0.4 * first);
  run(seconds{60}, k_late);
  BOOST_TEST(*starts.rate() == options.least);
  const int sent = run(seconds{10}, k_late);
  BOOST_TEST(sent >= static_cast<int>(9 * options.least));
  BOOST_TEST(sent <= static_cast<int>(11 * options.least));
}

BOOST_FIXTURE_TEST_CASE(it_rises_slowly_and_is_lifted, budget)
{
  run(seconds{60}, k_late);
  run(seconds{1}, milliseconds{0});
  BOOST_TEST(*starts.rate() <= options.least + 1.1 * options.increase);
  run(seconds{60}, milliseconds{0});
  BOOST_TEST(!starts.bounded());
}

// A late pass comes long after the one before: what it may send must not make the next one later.
BOOST_FIXTURE_TEST_CASE(a_pass_after_a_pause_sends_no_more_than_a_burst, budget)
{
  run(seconds{60}, k_late);
  now += seconds{10};
  starts.begin_pass(k_late, now);
  int sent = 0;
  for (; !starts.spent(); ++sent)
    starts.take();
  BOOST_TEST(sent <= 1 + options.least * 0.1);
}

// A new owner's first pass starts hundreds of tasks; the bound that follows counted them, and
// nothing was started for seconds.
BOOST_FIXTURE_TEST_CASE(what_was_sent_without_a_bound_is_no_debt, budget)
{
  now += k_pass;
  starts.begin_pass(milliseconds{0}, now);
  for (int i = 0; i < 1000; ++i)
    starts.take();
  BOOST_TEST(run(milliseconds{500}, k_late) > 100);
}

BOOST_FIXTURE_TEST_CASE(a_large_gang_holds_up_others_for_a_bounded_time, budget)
{
  run(seconds{1}, k_late);
  for (int i = 0; i < 10000; ++i)
    starts.take();
  BOOST_TEST(run(seconds{1}, k_late) > 50);
}

BOOST_FIXTURE_TEST_CASE(a_pass_of_a_late_loop_sends_a_part_of_what_has_room, paced)
{
  start_job(k_job, wide());
  BOOST_TEST(starts.size() < 100U);
  const std::size_t before = starts.size();
  next_pass();
  next_pass();
  BOOST_TEST(starts.size() > before);
}

// Holds extend leases: they are due however many starts wait, and go before them.
BOOST_FIXTURE_TEST_CASE(holds_and_stops_are_not_bounded, paced)
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

BOOST_FIXTURE_TEST_CASE(what_lasts_goes_before_first_starts_of_more_urgent_jobs, paced)
{
  yardhill::jobs::queue_policy urgent;
  urgent.service = "service";
  urgent.max_attempts = 3;
  yardhill::jobs::queue_policy usual = urgent;
  usual.priority = 2;
  scheduler->set_policies({{"queue", urgent}, {"lasting", usual}});
  scheduler->add_job(job(k_job, {wide()}), now);
  yardhill::jobs::step_spec lasting = wide(4);
  lasting.long_running = true;
  yardhill::jobs::accepted_job second = job(k_other_job, {lasting});
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

BOOST_FIXTURE_TEST_CASE(what_has_begun_goes_before_first_starts, paced)
{
  begin(k_other_job, wide(40));
  answer_start(starts.front(), call_end::done); // it has begun
  scheduler->add_job(job(k_job, {wide()}), now);
  // Its id comes first in the order of equals.
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

// A gang starts whole or not at all, even if it is larger than what a pass may send.
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
