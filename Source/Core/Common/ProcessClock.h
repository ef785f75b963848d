// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The processor time that all threads of this process have used.

#include <ctime>

#include "Common/Time.h"

namespace yardhill::common
{
inline duration process_cpu_time()
{
  timespec used{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
  return std::chrono::duration_cast<duration>(std::chrono::seconds(used.tv_sec) +
                                              std::chrono::nanoseconds(used.tv_nsec));
}
} // namespace yardhill::common
