// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The replicas of services that the declared state wants.

#include <vector>

#include "Common/CellConfig.h"
#include "Common/Ids.h"
#include "Common/Task.h"

namespace yardhill::decision
{
using namespace common;

bool is_declared_replica(const task_spec& spec, const cell_config& cell);
// The tasks of all replicas whose home is this partition.
std::vector<task_spec> replicas_homed_at(const partition_id& partition, const cell_config& cell);
} // namespace yardhill::decision
