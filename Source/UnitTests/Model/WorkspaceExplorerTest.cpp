// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// The explorer on cells with workspaces whose keys and limits change.

#include <cstdlib>

#include <boost/test/unit_test.hpp>

#include "Common/SimulationLog.h"
#include "ExplorerSeeds.h"
#include "Model/CellExplorer.h"

using namespace yardhill::model;

BOOST_AUTO_TEST_SUITE(WorkspaceExplorerTest)

// Keys are revoked and limits of workspaces change, beside the seed's other faults.
BOOST_AUTO_TEST_CASE(no_seed_breaks_a_promise_to_workspaces)
{
  if (std::getenv("YARDHILL_LOG") != nullptr)
    yardhill::common::open_simulation_log("explorer-workspaces");
  const seed_range range = selected_seeds();
  std::size_t accepted = 0;
  std::size_t served = 0;
  std::size_t refused = 0;
  for (std::uint64_t seed = range.first; seed < range.first + range.count; ++seed)
  {
    const exploration result =
        explore_cell(seed, omission::none, restarts::none, 1 + seed % 2, workspaces::changing);
    accepted += result.accepted;
    served += result.keys_served;
    refused += result.keys_refused;
    BOOST_TEST(result.violations.empty(), failure_text(seed, result));
  }
  BOOST_TEST(accepted > range.count * 20);
  BOOST_TEST(served > range.count * 400);
  BOOST_TEST(refused > range.count * 400);
}

BOOST_AUTO_TEST_CASE(ignoring_limits_of_workspaces_is_detected)
{
  std::size_t detected = 0;
  for (std::uint64_t seed = 1; seed <= 20 && detected == 0; ++seed)
    detected +=
        explore_cell(seed, omission::limits_omitted, restarts::none, 1, workspaces::changing)
                .violations.empty()
            ? 0
            : 1;
  BOOST_TEST(detected > 0U);
}

BOOST_AUTO_TEST_CASE(ignoring_keys_is_detected)
{
  const exploration result =
      explore_cell(1, omission::keys_omitted, restarts::none, 1, workspaces::changing);
  BOOST_TEST(!result.violations.empty());
}

BOOST_AUTO_TEST_SUITE_END()
