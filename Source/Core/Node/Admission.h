// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Admission control: decides whether a new job is accepted while its partition's owner is
// overloaded, or its partition's workers are full.

#include <chrono>
#include <cstdint>
#include <optional>

#include "Jobs/JobSpec.h"
#include "Node/OwnerRow.h"

namespace yardhill::node
{
// Returns by how much the job's expected start, from the waits that `owner` reports, lies after the
// latest start at which the job still has any value; none if the job is accepted. The expected
// start allows for jobs that have arrived since the report and require `arrived_cpu_millis`.
//
// Long-running jobs and repeating jobs, which are due later, are always accepted. Jobs of
// workspaces beyond their share are judged like all others: they start later than the owner
// predicts, so a refusal is right for them, too.
std::optional<std::chrono::milliseconds> excess_wait(const jobs::queue_policy& policy,
                                                     const jobs::job_spec& spec,
                                                     const owner_row& owner,
                                                     std::int64_t arrived_cpu_millis = 0);
// What all tasks of the job require, in thousandths of a core.
std::int64_t required_cpu_millis(const jobs::job_spec& spec);
} // namespace yardhill::node
