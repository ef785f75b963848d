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
  claims_omitted,   // a new owner finds no stored claims of workers
  progress_omitted, // a new owner finds no stored record of steps that have begun
  limits_omitted,   // the instances' configuration contains no limits of workspaces
  keys_omitted,     // by the instances' configuration callers need no keys
  // Once a task of a step with a limit per worker runs, replies to calls for advice contain tickets
  // only for workers that have reached the limit.
  usable_tickets_omitted
};

// Whether workers also restart under their previous ids, in addition to the seed's other faults.
enum class restarts
{
  none,
  same_id
};

// Whether the cell has workspaces whose keys and limits change.
enum class workspaces
{
  none,
  changing
};

// Whether the cell also has a queue with long calls for advice that permit few workers, and jobs in
// it: long-running ones with a limit of tasks per worker, and others that compete for the calls.
enum class advice_load
{
  usual,
  scarce
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
  // Calls with valid keys that were served, and calls with other keys that were refused.
  std::size_t keys_served = 0;
  std::size_t keys_refused = 0;
};

// The same arguments always give the same simulation.
exploration explore_cell(std::uint64_t seed, omission without = omission::none,
                         restarts how = restarts::none, std::size_t partitions = 1,
                         workspaces callers = workspaces::none,
                         advice_load advice = advice_load::usual);
} // namespace yardhill::model
