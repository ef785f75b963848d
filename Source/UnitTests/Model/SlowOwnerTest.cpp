// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// An owner whose processor is saturated must not be taken for one that is gone. Its event loop ran
// late, and with it its renewals and its messages to peers. Each takeover made more work for the
// next owner, which ran later still, until leases lapsed and long-running tasks did not run.

#include "UnitTests/Model/LongRunningCell.h"

using namespace yardhill;
using namespace yardhill::model;

namespace
{
constexpr std::array<std::uint64_t, 6> k_seeds{1, 2, 3, 4, 5, 6};
constexpr unsigned k_burst_count = 6;
constexpr std::uint64_t k_jobs_per_burst = 50;
constexpr milliseconds k_burst_duration{1000};
constexpr milliseconds k_burst_interval{2000};

processor_costs slow_processor()
{
  processor_costs costs;
  costs.timer = std::chrono::microseconds{100};
  costs.event = milliseconds{8};
  costs.call = milliseconds{8};
  return costs;
}

struct busy_cell : long_running_cell
{
  explicit busy_cell(std::uint64_t seed) : long_running_cell(seed, slow_processor())
  {
    takeovers_before = takeovers();
  }

  std::uint64_t takeovers()
  {
    std::uint64_t total = 0;
    for (const explored_instance& each : cell.instances())
      total += each.metrics->value(common::counter::takeovers);
    return total;
  }

  // Submits more than the owner can process in time.
  void load(unsigned bursts = k_burst_count)
  {
    for (unsigned i = 0; i < bursts; ++i)
    {
      cell.callers().burst(k_jobs_per_burst, k_burst_duration);
      run_for(k_burst_interval);
    }
  }

  milliseconds max_delay()
  {
    duration longest{};
    for (const explored_instance& each : cell.instances())
      longest = std::max(longest, each.processor->latest());
    return std::chrono::duration_cast<milliseconds>(longest);
  }

  std::uint64_t takeovers_before = 0;
};
} // namespace

BOOST_AUTO_TEST_SUITE(SlowOwnerTest)

BOOST_AUTO_TEST_CASE(an_owner_that_is_late_is_not_replaced)
{
  for (const std::uint64_t seed : k_seeds)
  {
    busy_cell scenario(seed);
    scenario.load();
    BOOST_TEST_CONTEXT("seed " << seed << ", events up to " << scenario.max_delay().count()
                               << " ms late")
    {
      BOOST_TEST(scenario.max_delay() > milliseconds{800});
      BOOST_TEST(scenario.takeovers() == scenario.takeovers_before);
      BOOST_TEST(scenario.cell.judge().lapsed() == 0U);
      BOOST_TEST(scenario.cell.judge().violations().empty());
    }
  }
}

// Other instances wait for a late owner only up to a limit, however late it was before.
BOOST_AUTO_TEST_CASE(an_owner_that_is_late_and_then_frozen_is_replaced)
{
  for (const std::uint64_t seed : k_seeds)
  {
    busy_cell scenario(seed);
    scenario.load(2);
    const std::uint64_t before = scenario.takeovers();
    scenario.owner().time->freeze_until(scenario.cell.time().now() + seconds{8});
    scenario.run_for(milliseconds{3000});
    BOOST_TEST(scenario.takeovers() == before + 1, "seed " << seed);
    scenario.run_for(seconds{10});
    BOOST_TEST(scenario.cell.judge().violations().empty(), "seed " << seed);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(SlowSuccessorTest)

// The new owner has more work than its predecessor, since it has to query all workers.
BOOST_AUTO_TEST_CASE(an_owner_that_is_killed_under_load_is_replaced_once)
{
  for (const std::uint64_t seed : k_seeds)
  {
    busy_cell scenario(seed);
    scenario.load(2);
    const std::uint64_t before = scenario.takeovers();
    scenario.cell.end_instance(scenario.owner());
    scenario.load(4);
    BOOST_TEST_CONTEXT("seed " << seed << ", events up to " << scenario.max_delay().count()
                               << " ms late")
    {
      BOOST_TEST(scenario.takeovers() == before + 1);
      BOOST_TEST(scenario.cell.judge().lapsed() == 0U);
      BOOST_TEST(scenario.cell.judge().violations().empty());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
