// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// How a worker is chosen among those with room: one scoring function per kind of work.

#include <cstdint>

#include "Common/Resources.h"
#include "Common/Task.h"

namespace yardhill::decision
{
using namespace common;

// What a scoring function may look at.
struct placement_candidate
{
  const resources& room;     // before the placement
  const resources& capacity; // of the worker
  const resources& demand;
  std::uint32_t same_on_worker = 0; // members of the same workload already there
  std::uint32_t same_on_rack = 0;
  std::uint32_t position = 0; // in the order of the configuration
};

// The candidate with the highest score is taken.
using placement_score = double (*)(const placement_candidate& candidate);

struct placement_strategy
{
  placement_score score = nullptr;
  bool counts_same = false; // whether the same_on_... fields are to be filled in
};

// The strategies of a policy, by kind of work.
struct placement_policy
{
  const char* name;
  placement_strategy by_kind[static_cast<std::size_t>(task_kind::count)];
  bool first_in_first_out; // baseline: one queue in order of arrival, the head blocks
};

// Packs batch and gangs tightly, spreads services over racks, keeps interactive work apart.
extern const placement_policy k_yardhill_policy;
// Baselines.
extern const placement_policy k_first_fit_policy;
extern const placement_policy k_least_loaded_policy;
} // namespace yardhill::decision
