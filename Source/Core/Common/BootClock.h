// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// A steady clock that counts the time in which the machine is suspended. std::chrono::steady_clock
// stands still meanwhile, so leases, claims and the age of what was read would look younger than
// they are to a process that wakes: it would go on ordering workers beside its successor.

#include <ctime>

#include "Common/Time.h"

namespace yardhill::common
{
// Never steps back. Timers of an event loop may still be late by the time of a suspension.
inline time_point boot_time()
{
  timespec since_boot{};
  ::clock_gettime(CLOCK_BOOTTIME, &since_boot);
  return time_point(std::chrono::duration_cast<duration>(
      std::chrono::seconds(since_boot.tv_sec) + std::chrono::nanoseconds(since_boot.tv_nsec)));
}
} // namespace yardhill::common
