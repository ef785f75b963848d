// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Admission control: decides whether a new job is accepted while its partition's owner is
// overloaded.

#include <chrono>
#include <optional>

#include "Jobs/JobSpec.h"
#include "Node/OwnerRow.h"

namespace yardhill::node
{
// Returns by how much the job's expected start, from the waits that `owner` reports, lies after the
// latest start at which the job still has any value; none if the job is accepted. Long-running jobs
// and repeating jobs, which are due later, are always accepted.
std::optional<std::chrono::milliseconds>
excess_wait(const jobs::queue_policy& policy, const jobs::job_spec& spec, const owner_row& owner);
} // namespace yardhill::node
