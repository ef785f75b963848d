// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// How long a task waits before it is tried again.

#include <cstdint>

#include "Common/Ids.h"
#include "Common/Options.h"
#include "Common/Time.h"

namespace yardhill::decision
{
using namespace common;

// Doubles with each failure, from retry_first up to retry_most.
duration backoff_after(std::uint32_t failures, const scheduling_options& options);
// Between three and five quarters of it, differently for each task and try, so that retries spread.
duration spread_out(duration delay, const task_id& task, attempt_number attempt);
} // namespace yardhill::decision
