// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Tasks that last lost their workers for good, and before their leases were over the partition's
// owner was replaced, and then once more. The tasks ran again 20 s and more after their loss, with
// room for them all the time, although no lease was longer than 7.8 s. Each owner counted the end
// of all earlier orders and leases from its predecessor's latest renewal; when the last lease on
// those very workers had been given was known to the first owner alone. What proved it: the second
// run began 12.5 s after the last takeover, whenever the loss had been.

#include <boost/test/unit_test.hpp>

#include "UnitTests/Model/LongRunningCell.h"

using namespace yardhill;
using model::k_lasting_tasks;
using model::long_running_cell;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(OwnersLostInSeriesTest)

// The owner that was there at the loss lives long enough to see that the workers are silent.
BOOST_AUTO_TEST_CASE(tasks_run_again_when_the_last_lease_is_over_however_often_owners_change)
{
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U})
  {
    long_running_cell play(seed);
    play.crash_busy_workers(2);
    play.pass(milliseconds{3500});
    play.replace_owner();
    play.pass(milliseconds{3000});
    play.replace_owner();
    play.pass(milliseconds{4000}); // 10.5 s after the loss
    BOOST_TEST(play.running() == k_lasting_tasks, "seed " << seed);
    BOOST_TEST(play.cell.judge().violations().empty());
  }
}

// The owner is lost with the workers. The next one has to wait for all that its predecessor may
// have ordered, and the one after that no longer than it.
BOOST_AUTO_TEST_CASE(a_later_owner_goes_on_with_the_wait_of_the_one_before)
{
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U})
  {
    long_running_cell play(seed);
    play.crash_busy_workers(2);
    play.replace_owner();
    for (unsigned i = 0; i < 3; ++i)
    {
      play.pass(milliseconds{4000});
      play.replace_owner();
    }
    play.pass(milliseconds{3000}); // 15 s after the loss
    BOOST_TEST(play.running() == k_lasting_tasks, "seed " << seed);
    BOOST_TEST(play.cell.judge().violations().empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()
