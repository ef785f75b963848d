// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Simulates a small cell in virtual time: several instances that run the production code, models of
// their environment, callers, and faults drawn from a seed. Reports each violated invariant.

#include <cstdint>
#include <string>
#include <vector>

namespace yardhill::model
{
// Mechanisms that a trial can disable, to verify that the explorer detects their absence.
enum class omission
{
  none,
  claims_omitted,  // a new owner finds no stored claims of workers
  progress_omitted // a new owner finds no stored record of steps that have begun
};

// Whether workers also restart under their previous ids, in addition to the seed's other faults.
enum class restarts
{
  none,
  same_id
};

struct exploration
{
  std::vector<std::string> violations;
  std::vector<std::string> troubles; // descriptions of the injected faults, in order
  std::size_t accepted = 0;
  std::size_t starts = 0;
  // Queries for the number of waiting jobs to connected instances: answered with a number, and
  // answered without one.
  std::size_t counted = 0;
  std::size_t unknown_counts = 0;
};

// The same arguments always give the same simulation.
exploration explore_cell(std::uint64_t seed, omission without = omission::none,
                         restarts how = restarts::none, std::size_t partitions = 1);
} // namespace yardhill::model
