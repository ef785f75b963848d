// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// An owner at the bound of its processor was taken for one that is gone: its loop was late, so its
// renewals and what it says to its peers were. Each takeover made more work for the next owner,
// which was later still, until leases lapsed and tasks that last did not run.

#include "UnitTests/Model/LongRunningCell.h"

using namespace yardhill;
using namespace yardhill::model;

namespace
{
constexpr std::array<std::uint64_t, 6> k_seeds{1, 2, 3, 4, 5, 6};
constexpr unsigned k_bursts = 6;
constexpr std::uint64_t k_jobs_of_a_burst = 50;
constexpr milliseconds k_burst{1000};
constexpr milliseconds k_between_bursts{2000};

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
    std::uint64_t all = 0;
    for (const explored_instance& each : cell.instances())
      all += each.metrics->value(common::counter::takeovers);
    return all;
  }

  // More than the owner can work off in time.
  void load(unsigned bursts = k_bursts)
  {
    for (unsigned i = 0; i < bursts; ++i)
    {
      cell.callers().burst(k_jobs_of_a_burst, k_burst);
      pass(k_between_bursts);
    }
  }

  milliseconds latest()
  {
    duration most{};
    for (const explored_instance& each : cell.instances())
      most = std::max(most, each.processor->latest());
    return std::chrono::duration_cast<milliseconds>(most);
  }

  std::uint64_t takeovers_before = 0;
};
} // namespace

BOOST_AUTO_TEST_SUITE(SlowOwnerTest)

BOOST_AUTO_TEST_CASE(an_owner_that_is_late_is_not_replaced)
{
  for (const std::uint64_t seed : k_seeds)
  {
    busy_cell play(seed);
    play.load();
    BOOST_TEST_CONTEXT("seed " << seed << ", events up to " << play.latest().count() << " ms late")
    {
      BOOST_TEST(play.latest() > milliseconds{800});
      BOOST_TEST(play.takeovers() == play.takeovers_before);
      BOOST_TEST(play.cell.judge().lapsed() == 0U);
      BOOST_TEST(play.cell.judge().violations().empty());
    }
  }
}

// However late it was before: it is waited for up to a bound.
BOOST_AUTO_TEST_CASE(an_owner_that_is_late_and_then_frozen_is_replaced)
{
  for (const std::uint64_t seed : k_seeds)
  {
    busy_cell play(seed);
    play.load(2);
    const std::uint64_t before = play.takeovers();
    play.owner().time->freeze_until(play.cell.time().now() + seconds{8});
    play.pass(milliseconds{3000});
    BOOST_TEST(play.takeovers() == before + 1, "seed " << seed);
    play.pass(seconds{10});
    BOOST_TEST(play.cell.judge().violations().empty(), "seed " << seed);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(SlowSuccessorTest)

// The new owner has more to do than the one before: everybody has to be asked.
BOOST_AUTO_TEST_CASE(an_owner_that_is_killed_under_load_is_replaced_once)
{
  for (const std::uint64_t seed : k_seeds)
  {
    busy_cell play(seed);
    play.load(2);
    const std::uint64_t before = play.takeovers();
    play.cell.end_instance(play.owner());
    play.load(4);
    BOOST_TEST_CONTEXT("seed " << seed << ", events up to " << play.latest().count() << " ms late")
    {
      BOOST_TEST(play.takeovers() == before + 1);
      BOOST_TEST(play.cell.judge().lapsed() == 0U);
      BOOST_TEST(play.cell.judge().violations().empty());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
