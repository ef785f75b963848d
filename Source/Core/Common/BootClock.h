// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// A monotonic clock that also counts the time during which the machine is suspended.
// std::chrono::steady_clock stops during a suspension. A resumed process would then consider
// its leases, its claims and the data that it has read younger than they are, and would go on
// sending requests to workers beside the owner that has taken over from it.

#include <ctime>

#include "Common/Time.h"

namespace yardhill::common
{
// Never decreases. Timers of an event loop may still be late by the length of a suspension.
inline time_point boot_time()
{
  timespec since_boot{};
  ::clock_gettime(CLOCK_BOOTTIME, &since_boot);
  return time_point(std::chrono::duration_cast<duration>(
      std::chrono::seconds(since_boot.tv_sec) + std::chrono::nanoseconds(since_boot.tv_nsec)));
}
} // namespace yardhill::common
