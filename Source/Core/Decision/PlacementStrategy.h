// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Choice among the workers with enough free capacity: one scoring function per kind of task.

#include <cstdint>

#include "Common/Resources.h"
#include "Common/Task.h"

namespace yardhill::decision
{
using namespace common;

// The input of a scoring function.
struct placement_candidate
{
  const resources& free_capacity; // of the worker, before the placement
  const resources& capacity;      // of the worker
  const resources& demand;
  std::uint32_t colocated_on_worker = 0; // members of the same workload already on the worker
  std::uint32_t colocated_on_rack = 0;
  std::uint32_t position = 0; // of the worker, in the order of the configuration
};

// The candidate with the highest score is taken.
using placement_score = double (*)(const placement_candidate& candidate);

struct placement_strategy
{
  placement_score score = nullptr;
  bool counts_colocated = false; // whether the colocated_on_... fields are to be filled in
};

// The strategies of a policy, by kind of task.
struct placement_policy
{
  const char* name;
  placement_strategy by_kind[static_cast<std::size_t>(task_kind::count)];
  bool first_in_first_out; // one queue in order of arrival; its head blocks the others
};

// Packs interactive, batch and gang tasks tightly and spreads services over racks. The capacity
// kept apart for interactive tasks is the headroom of placement_pass.
extern const placement_policy k_yardhill_policy;
// Baseline policies, for comparison.
extern const placement_policy k_first_fit_policy;
extern const placement_policy k_least_loaded_policy;
} // namespace yardhill::decision
