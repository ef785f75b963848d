// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The delay before a task's next attempt.

#include <cstdint>

#include "Common/Ids.h"
#include "Common/Options.h"
#include "Common/Time.h"

namespace yardhill::decision
{
using namespace common;

// Doubles with each failure, from retry_first up to retry_most.
duration backoff_after(std::uint32_t failures, const scheduling_options& options);
// Scales the delay by a factor from 0.75 to 1.25 that depends on task and attempt, so that retries
// do not come all at once.
duration with_jitter(duration delay, const task_id& task, attempt_number attempt);
} // namespace yardhill::decision
