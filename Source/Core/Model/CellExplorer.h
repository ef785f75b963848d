// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Plays a small cell in virtual time: several instances as they run in production, models of what
// they are given, callers, and troubles drawn from a seed. Says what must never happen and did.

#include <cstdint>
#include <string>
#include <vector>

namespace yardhill::model
{
// Mechanisms that a trial can leave out, to see that the explorer notices.
enum class omission
{
  none,
  claims_omitted, // a new owner finds no claims of workers
  progress_omitted   // a new owner finds no step begun
};

// Whether workers start again under the ids that they had, besides a seed's other troubles.
enum class restarts
{
  none,
  same_id
};

struct exploration
{
  std::vector<std::string> violations;
  std::vector<std::string> troubles; // what happened, in order
  std::size_t accepted = 0;
  std::size_t starts = 0;
  // Counts of waiting jobs that instances in touch told, and that they did not know.
  std::size_t counted = 0;
  std::size_t unknown_counts = 0;
};

// The same seed gives the same play.
exploration explore_cell(std::uint64_t seed, omission without = omission::none,
                         restarts how = restarts::none, std::size_t partitions = 1);
} // namespace yardhill::model
