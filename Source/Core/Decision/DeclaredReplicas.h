// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The service replicas that the configuration declares.

#include <vector>

#include "Common/CellConfig.h"
#include "Common/Ids.h"
#include "Common/Task.h"

namespace yardhill::decision
{
using namespace common;

bool is_declared_replica(const task_spec& spec, const cell_config& cell);
// Returns the tasks of all declared replicas that belong to `partition`.
std::vector<task_spec> replicas_homed_at(const partition_id& partition, const cell_config& cell);
} // namespace yardhill::decision
