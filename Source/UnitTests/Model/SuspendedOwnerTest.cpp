// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// The machine of a partition's owner is suspended for longer than its authority lasts. The usual
// steady clock stands still meanwhile, so the owner woke with a lease, a feed and counts that
// looked as fresh as before, and ordered workers beside its successor until the first of them told
// it of a higher token; one that the successor could not reach obeyed. Read in the code, and proved
// here by the calls that workers get from it.

#include <algorithm>

#include "UnitTests/Model/LongRunningCell.h"

using namespace yardhill;
using namespace yardhill::model;

namespace
{
constexpr seconds k_suspended{6}; // an owner's authority lasts 4.5 s
constexpr milliseconds k_just_awake{40};

// How many calls workers get from the owner just after it has woken.
std::size_t calls_after_waking(long_running_cell& play)
{
  const explored_instance& owner = play.owner();
  std::size_t calls = 0;
  for (fleet_worker& each : play.cell.workers())
    play.cell.network().serve(each.settings.address, each.machine,
                              [&each, &calls, &owner](const std::string& from,
                                                      const http::request& call,
                                                      http::reply_handler done)
                              {
                                calls += from == owner.name ? 1 : 0;
                                worker_fleet::handle(each, call, std::move(done));
                              });
  // Nobody tells it of its successor.
  play.cell.network().troubles.cuts.insert({owner.name, "store"});
  for (const explored_instance& other : play.cell.instances())
    play.cell.network().troubles.cuts.insert(std::minmax(owner.name, other.name));
  owner.time->suspend_until(play.cell.time().now() + k_suspended);
  play.pass(k_suspended);
  calls = 0;
  play.pass(k_just_awake);
  const std::size_t woken = calls;
  play.cell.network().troubles.cuts.clear();
  play.pass(seconds{10});
  return woken;
}
} // namespace

BOOST_AUTO_TEST_SUITE(SuspendedOwnerTest)

BOOST_AUTO_TEST_CASE(an_owner_that_wakes_knows_that_its_time_is_over)
{
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U})
  {
    long_running_cell play(seed);
    BOOST_TEST(calls_after_waking(play) == 0U);
    BOOST_TEST(play.cell.judge().violations().empty());
  }
}

// The play shows the fault that it is there for.
BOOST_AUTO_TEST_CASE(with_a_clock_that_stands_still_it_would_go_on)
{
  long_running_cell play(1);
  play.cell.read_suspended_clocks();
  BOOST_TEST(calls_after_waking(play) > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
