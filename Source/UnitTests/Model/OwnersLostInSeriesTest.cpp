// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Long-running tasks lost their workers for good. The partition's owner was replaced before the
// leases of these tasks were over, and then once more. The tasks ran again 20 s and more after the
// loss, although there was free capacity for all of them and no lease was longer than 7.8 s. Each
// owner calculated the end of all earlier requests and leases from its predecessor's latest
// renewal, and only the first owner knew when the last lease on the lost workers had been granted.
// The second run therefore began 12.5 s after the last takeover, whenever the workers had been
// lost.

#include <boost/test/unit_test.hpp>

#include "UnitTests/Model/LongRunningCell.h"

using namespace yardhill;
using model::k_long_running_tasks;
using model::long_running_cell;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(OwnersLostInSeriesTest)

// The owner at the time of the loss lives long enough to see that the workers are silent.
BOOST_AUTO_TEST_CASE(tasks_run_again_when_the_last_lease_is_over_however_often_owners_change)
{
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U})
  {
    long_running_cell scenario(seed);
    scenario.crash_busy_workers(2);
    scenario.run_for(milliseconds{3500});
    scenario.replace_owner();
    scenario.run_for(milliseconds{3000});
    scenario.replace_owner();
    scenario.run_for(milliseconds{4000}); // 10.5 s after the loss
    BOOST_TEST(scenario.running() == k_long_running_tasks, "seed " << seed);
    BOOST_TEST(scenario.cell.judge().violations().empty());
  }
}

// The owner is lost together with the workers. The next owner has to wait for everything that its
// predecessor may have requested, and the owners after it must not wait longer than that.
BOOST_AUTO_TEST_CASE(a_later_owner_continues_its_predecessors_wait)
{
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U})
  {
    long_running_cell scenario(seed);
    scenario.crash_busy_workers(2);
    scenario.replace_owner();
    for (unsigned i = 0; i < 3; ++i)
    {
      scenario.run_for(milliseconds{4000});
      scenario.replace_owner();
    }
    scenario.run_for(milliseconds{3000}); // 15 s after the loss
    BOOST_TEST(scenario.running() == k_long_running_tasks, "seed " << seed);
    BOOST_TEST(scenario.cell.judge().violations().empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()
