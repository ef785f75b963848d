// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Whether a new job is worth accepting while its partition's owner is overloaded.

#include <chrono>
#include <optional>

#include "Jobs/JobSpec.h"
#include "Node/OwnerRow.h"

namespace yardhill::node
{
// How much later than it may the job would begin to be worth anything, by what the owner told; none
// if it is accepted. Jobs that last, or that are due later, are worth accepting at any time.
std::optional<std::chrono::milliseconds>
excess_wait(const jobs::queue_policy& policy, const jobs::job_spec& spec, const owner_row& owner);
} // namespace yardhill::node
