// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// When callers are told to come back.

#include "Common/Time.h"

namespace yardhill::decision
{
// Bounds for times that come from the drain rate.
inline constexpr common::duration k_least_come_back = std::chrono::milliseconds{200};
inline constexpr common::duration k_most_come_back = std::chrono::minutes{1};
// While the table service is away or slow.
inline constexpr common::duration k_store_come_back = std::chrono::seconds{2};
} // namespace yardhill::decision
