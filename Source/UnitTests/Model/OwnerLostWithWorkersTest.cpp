// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Long-running tasks lost their workers for good, and at the same moment the partition's owner was
// killed and started again half a second later. The tasks ran again only after 12.5 s, although
// there was free capacity for all of them: the next owner could not tell from the silence of its
// predecessor that it sent no more requests to workers, and allowed 5 s for them, although the
// predecessor's instance was back within 1 s. The next owner's logs showed that its wait ended only
// when, by its own estimate, no earlier request could arrive any more.

#include <boost/test/unit_test.hpp>

#include "UnitTests/Model/LongRunningCell.h"

using namespace yardhill;
using model::k_long_running_tasks;
using model::long_running_cell;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(OwnerLostWithWorkersTest)

BOOST_AUTO_TEST_CASE(tasks_run_again_soon_if_the_killed_owner_is_back)
{
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U})
  {
    long_running_cell scenario(seed);
    scenario.crash_busy_workers(2);
    scenario.replace_owner();
    scenario.run_for(milliseconds{10000});
    BOOST_TEST(scenario.running() == k_long_running_tasks, "seed " << seed);
    BOOST_TEST(scenario.cell.judge().violations().empty());
  }
}

// The frozen owner may send requests to workers until it learns that it was replaced.
BOOST_AUTO_TEST_CASE(tasks_run_again_soon_if_the_frozen_owner_wakes)
{
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U})
  {
    long_running_cell scenario(seed);
    scenario.crash_busy_workers(2);
    scenario.owner().time->freeze_until(scenario.cell.time().now() + milliseconds{1500});
    scenario.run_for(milliseconds{11500});
    BOOST_TEST(scenario.running() == k_long_running_tasks, "seed " << seed);
    BOOST_TEST(scenario.cell.judge().violations().empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()
