// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// The explorer on cells with long-running steps whose advice takes long and permits few workers.

#include <algorithm>
#include <cstdlib>
#include <string>

#include <boost/test/unit_test.hpp>

#include "Common/SimulationLog.h"
#include "ExplorerSeeds.h"
#include "Model/CellExplorer.h"

using namespace yardhill::model;

namespace
{
exploration explore_scarce_advice(std::uint64_t seed, omission without = omission::none)
{
  return explore_cell(seed, without, restarts::none, 1, workspaces::none, advice_load::scarce);
}

void check_seed(std::uint64_t seed)
{
  const exploration result = explore_scarce_advice(seed);
  BOOST_TEST(result.violations.empty(), failure_text(seed, result));
}
} // namespace

BOOST_AUTO_TEST_SUITE(ScarceAdviceExplorerTest)

// Long-running tasks with a limit per worker end now and then and have to run again in time, beside
// other steps that need long calls for advice and the seed's faults.
BOOST_AUTO_TEST_CASE(no_seed_breaks_a_promise_when_advice_is_scarce)
{
  if (std::getenv("YARDHILL_LOG") != nullptr)
    yardhill::common::open_simulation_log("explorer-scarce-advice");
  const seed_range range = selected_seeds();
  constexpr std::uint64_t k_seed_divisor = 3; // a third of the seeds, since these take long
  const std::uint64_t count = (range.count + k_seed_divisor - 1) / k_seed_divisor;
  std::size_t accepted = 0;
  for (std::uint64_t seed = range.first; seed < range.first + count; ++seed)
  {
    const exploration result = explore_scarce_advice(seed);
    accepted += result.accepted;
    BOOST_TEST(result.violations.empty(), failure_text(seed, result));
  }
  // The seeds show something only if jobs were accepted.
  BOOST_TEST(accepted > count * 40);
}

// A task waited until the end of the simulation. Fourteen replies in a row permitted only workers
// that already ran as many tasks of the step as it allows on one worker.
BOOST_AUTO_TEST_CASE(advice_is_requested_about_workers_below_the_steps_limit)
{
  check_seed(4);
}

// A task waited for 30 s after an ordinary end of its run, 19 s after the last fault, while calls
// for its step followed one another without a pause.
BOOST_AUTO_TEST_CASE(a_task_in_a_calm_cell_runs_again_soon_after_its_end)
{
  check_seed(70);
}

// The few workers named besides those at the limit were unknown, and none of them was permitted.
// The next calls named workers at the limit again.
BOOST_AUTO_TEST_CASE(advice_goes_on_to_further_workers_after_a_reply_that_permits_none)
{
  check_seed(3);
}

// Without usable tickets, tasks wait although permitted workers have free capacity for them. Some
// seed has to show the omission; otherwise the explorer does not detect such faults.
BOOST_AUTO_TEST_CASE(omitting_usable_tickets_is_detected)
{
  std::size_t detected = 0;
  for (std::uint64_t seed = 1; seed <= 20 && detected == 0; ++seed)
  {
    const exploration result = explore_scarce_advice(seed, omission::usable_tickets_omitted);
    detected += std::any_of(result.violations.begin(), result.violations.end(),
                            [](const std::string& each) { return each.starts_with("LOST"); })
                    ? 1
                    : 0;
  }
  BOOST_TEST(detected > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
