// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Time as the deterministic core sees it: microseconds on a clock that only ever moves forward.
// The processes feed it from the monotonic clock, replay feeds it virtual time.

#include <chrono>

namespace yardhill::common
{
using duration = std::chrono::microseconds;

// Tag clock for time points that are handed in from outside; it has no now() on purpose.
struct core_clock
{
  using duration = common::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<core_clock, duration>;
  static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): std's name
};

using time_point = core_clock::time_point;

inline constexpr time_point k_never = time_point::max();

// Whole milliseconds, rounded up, so that a caller told to come back never comes too early.
constexpr std::chrono::milliseconds to_milliseconds(duration value)
{
  return std::chrono::ceil<std::chrono::milliseconds>(value);
}
} // namespace yardhill::common
