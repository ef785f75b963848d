// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// The machine of a partition's owner is suspended for longer than the owner's authority lasts. The
// usual steady clock stops meanwhile, so the owner woke with a lease, a feed and counts that looked
// as fresh as before. It sent requests to workers at the same time as its successor until a worker
// replied with a higher token; a worker that the successor could not reach obeyed the old owner.
// The test counts the calls that workers receive from the woken owner.

#include <algorithm>

#include "UnitTests/Model/LongRunningCell.h"

using namespace yardhill;
using namespace yardhill::model;

namespace
{
constexpr seconds k_suspension{6}; // an owner's authority lasts 4.5 s
constexpr milliseconds k_time_after_waking{40};

// Returns the number of calls that workers receive from the owner just after it wakes.
std::size_t calls_after_waking(long_running_cell& scenario)
{
  const explored_instance& owner = scenario.owner();
  std::size_t calls = 0;
  for (fleet_worker& each : scenario.cell.workers())
    scenario.cell.network().serve(each.settings.address, each.machine,
                                  [&each, &calls, &owner](const std::string& from,
                                                          const http::request& call,
                                                          http::reply_handler done)
                                  {
                                    calls += from == owner.name ? 1 : 0;
                                    worker_fleet::handle(each, call, std::move(done));
                                  });
  // The owner cannot learn of its successor from the store or another instance.
  scenario.cell.network().troubles.cuts.insert({owner.name, "store"});
  for (const explored_instance& other : scenario.cell.instances())
    scenario.cell.network().troubles.cuts.insert(std::minmax(owner.name, other.name));
  owner.time->suspend_until(scenario.cell.time().now() + k_suspension);
  scenario.run_for(k_suspension);
  calls = 0;
  scenario.run_for(k_time_after_waking);
  const std::size_t startup_requests = calls;
  scenario.cell.network().troubles.cuts.clear();
  scenario.run_for(seconds{10});
  return startup_requests;
}
} // namespace

BOOST_AUTO_TEST_SUITE(SuspendedOwnerTest)

BOOST_AUTO_TEST_CASE(a_woken_owner_knows_that_its_authority_has_expired)
{
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U})
  {
    long_running_cell scenario(seed);
    BOOST_TEST(calls_after_waking(scenario) == 0U);
    BOOST_TEST(scenario.cell.judge().violations().empty());
  }
}

// With a clock that stops during the suspension, the scenario reproduces the fault that it guards
// against.
BOOST_AUTO_TEST_CASE(with_a_clock_that_stops_the_woken_owner_calls_workers)
{
  long_running_cell scenario(1);
  scenario.cell.read_suspended_clocks();
  BOOST_TEST(calls_after_waking(scenario) > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
