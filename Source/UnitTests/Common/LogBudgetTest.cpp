// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Guards against a log without the decisions on a job: on a heavily loaded day the lines of one
// group, or of both, exceed what may be written.

#include <chrono>
#include <cstddef>

#include <boost/test/unit_test.hpp>

#include "Common/LogBudget.h"

using namespace yardhill::common;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
// A log whose reader takes each line at once, except where a case says otherwise.
struct budgeted_log
{
  time_point now{seconds{100}};
  log_budget budget{now};

  // How many of `lines` lines at the same moment are admitted.
  std::size_t admitted(log_group group, std::size_t lines, std::size_t buffered = 0)
  {
    std::size_t count = 0;
    for (std::size_t i = 0; i < lines; ++i)
      count += budget.admit(group, buffered, now) ? 1 : 0;
    return count;
  }
};

constexpr std::size_t k_flood = 100000;
constexpr std::size_t k_decision_burst = 4000;
constexpr std::size_t k_repeating_burst = 1500;
} // namespace

BOOST_AUTO_TEST_SUITE(LogBudgetTest)

BOOST_FIXTURE_TEST_CASE(a_flood_of_repeating_lines_does_not_drop_decisions, budgeted_log)
{
  BOOST_TEST(admitted(log_group::repeating, k_flood) == k_repeating_burst);
  BOOST_TEST(admitted(log_group::decisions, k_decision_burst) == k_decision_burst);
  BOOST_TEST(budget.dropped().repeating == k_flood - k_repeating_burst);
  BOOST_TEST(budget.dropped().decisions == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_flood_of_decisions_is_bounded_and_counted, budgeted_log)
{
  BOOST_TEST(admitted(log_group::decisions, k_flood) == k_decision_burst);
  BOOST_TEST(budget.dropped().decisions == k_flood - k_decision_burst);
  BOOST_TEST(budget.dropped().repeating == 0U);
  BOOST_TEST(budget.dropped().total() == k_flood - k_decision_burst);
  BOOST_TEST(admitted(log_group::repeating, k_repeating_burst) == k_repeating_burst);
}

BOOST_FIXTURE_TEST_CASE(a_new_second_refills_both_groups, budgeted_log)
{
  admitted(log_group::decisions, k_flood);
  admitted(log_group::repeating, k_flood);
  now += seconds{1};
  BOOST_TEST(admitted(log_group::decisions, k_flood) == 1000U);
  BOOST_TEST(admitted(log_group::repeating, k_flood) == 300U);
}

// Otherwise the flood after a quiet hour would have no bound.
BOOST_FIXTURE_TEST_CASE(unused_budget_is_kept_up_to_the_burst, budgeted_log)
{
  now += seconds{3600};
  BOOST_TEST(admitted(log_group::decisions, k_flood) == k_decision_burst);
  BOOST_TEST(admitted(log_group::repeating, k_flood) == k_repeating_burst);
}

// Guards against a budget that a burst of the load in docs/design/load.md exceeds: the owner logs
// 250 ends and 1,050 starts a second for 7 s.
BOOST_FIXTURE_TEST_CASE(the_decisions_of_a_burst_of_seven_seconds_are_written, budgeted_log)
{
  constexpr std::size_t k_lines_per_tick = 130;
  for (unsigned tick = 0; tick < 70; ++tick, now += milliseconds{100})
    BOOST_TEST(admitted(log_group::decisions, k_lines_per_tick) == k_lines_per_tick);
}

// The rates alone would let repeating lines fill the buffer of a reader that has stopped.
BOOST_FIXTURE_TEST_CASE(repeating_lines_leave_buffer_for_decisions_and_both_for_the_process,
                        budgeted_log)
{
  constexpr std::size_t k_half_full = 128U << 10U;
  constexpr std::size_t k_nearly_full = 224U << 10U;
  constexpr std::size_t k_full = 256U << 10U;
  BOOST_TEST(admitted(log_group::repeating, 1, k_half_full - 1) == 1U);
  BOOST_TEST(admitted(log_group::repeating, 1, k_half_full) == 0U);
  BOOST_TEST(admitted(log_group::limited_by_caller, 1, k_half_full) == 0U);
  BOOST_TEST(admitted(log_group::decisions, 1, k_half_full) == 1U);
  BOOST_TEST(admitted(log_group::decisions, 1, k_nearly_full) == 0U);
  BOOST_TEST(admitted(log_group::process, 1, k_nearly_full) == 1U);
  BOOST_TEST(admitted(log_group::process, 1, k_full) == 0U);
  BOOST_TEST(budget.dropped().repeating == 2U);
  BOOST_TEST(budget.dropped().decisions == 1U);
  BOOST_TEST(budget.dropped().process == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_line_without_room_in_the_buffer_uses_no_budget, budgeted_log)
{
  admitted(log_group::decisions, k_flood, 256U << 10U);
  BOOST_TEST(admitted(log_group::decisions, k_flood) == k_decision_burst);
}

BOOST_FIXTURE_TEST_CASE(lines_about_the_process_have_no_rate_limit, budgeted_log)
{
  BOOST_TEST(admitted(log_group::process, k_flood) == k_flood);
}

// A simulation writes the lines of a minute of virtual time within a second.
BOOST_FIXTURE_TEST_CASE(a_simulation_has_no_rate_limit, budgeted_log)
{
  budget = log_budget(now, log_budget::rates::unlimited);
  BOOST_TEST(admitted(log_group::decisions, k_flood) == k_flood);
  BOOST_TEST(admitted(log_group::repeating, k_flood) == k_flood);
  BOOST_TEST(admitted(log_group::decisions, 1, 256U << 10U) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
