// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Tasks that last lost their workers for good, and at the same moment the partition's owner was
// killed and started again half a second later. They ran again after 12.5 s, with room for them all
// the time: the next owner could not tell from silence that its predecessor gave no more orders,
// and counted 5 s for that, although the predecessor's instance was back within one. What proved
// it: the logs of the next owner, whose wait was over by its own count of earlier orders.

#include <boost/test/unit_test.hpp>

#include "UnitTests/Model/LongRunningCell.h"

using namespace yardhill;
using model::k_lasting_tasks;
using model::long_running_cell;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(OwnerLostWithWorkersTest)

BOOST_AUTO_TEST_CASE(tasks_run_again_soon_if_the_killed_owner_is_back)
{
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U})
  {
    long_running_cell play(seed);
    play.crash_busy_workers(2);
    play.replace_owner();
    play.pass(milliseconds{10000});
    BOOST_TEST(play.running() == k_lasting_tasks, "seed " << seed);
    BOOST_TEST(play.cell.judge().violations().empty());
  }
}

// It may have ordered until it knew that it was replaced.
BOOST_AUTO_TEST_CASE(tasks_run_again_soon_if_the_frozen_owner_wakes)
{
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U})
  {
    long_running_cell play(seed);
    play.crash_busy_workers(2);
    play.owner().time->freeze_until(play.cell.time().now() + milliseconds{1500});
    play.pass(milliseconds{11500});
    BOOST_TEST(play.running() == k_lasting_tasks, "seed " << seed);
    BOOST_TEST(play.cell.judge().violations().empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()
