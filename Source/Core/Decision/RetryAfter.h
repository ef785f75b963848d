// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The retry_after values that callers get with a refusal or an unclear answer.

#include "Common/Time.h"

namespace yardhill::decision
{
// Bounds for values computed from the drain rate.
inline constexpr common::duration k_min_retry_after = std::chrono::milliseconds{200};
inline constexpr common::duration k_max_retry_after = std::chrono::minutes{1};
// Used while the table service is unavailable or slow.
inline constexpr common::duration k_store_retry_after = std::chrono::seconds{2};
} // namespace yardhill::decision
