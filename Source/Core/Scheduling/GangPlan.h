// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Finds the earliest time at which all members of a gang can start together, and the workers on
// which they should.
//
// Answers the load in which many small tasks keep every worker nearly full: each worker has
// capacity for some members now and then, but never enough workers do at the same moment.

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "Scheduling/SchedulerMessages.h"

namespace yardhill::scheduling
{
// A worker on which members may run.
struct gang_candidate
{
  worker_id worker;
  // When the worker should have capacity for the first member, for the second beside it, and so
  // on; in ascending order.
  std::vector<common::time_point> openings;
};

struct gang_plan
{
  common::time_point start_at;
  std::map<worker_id, std::uint32_t> members; // by worker
};

// Returns none if the candidates never have capacity for that many members.
std::optional<gang_plan> plan_gang(const std::vector<gang_candidate>& candidates,
                                   std::uint32_t members);
} // namespace yardhill::scheduling
