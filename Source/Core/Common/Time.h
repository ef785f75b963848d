// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The time of the deterministic core: microseconds on a clock that never decreases. Server
// processes supply it from the monotonic clock, a replay supplies virtual time.

#include <chrono>

namespace yardhill::common
{
using duration = std::chrono::microseconds;

// Clock type for the core's time points. It has no now(): the core is passed the time as an
// argument and must not read a clock itself.
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

// Whole milliseconds, rounded up so that a caller that waits for a retry_after never retries too
// early.
constexpr std::chrono::milliseconds to_milliseconds(duration value)
{
  return std::chrono::ceil<std::chrono::milliseconds>(value);
}
} // namespace yardhill::common
