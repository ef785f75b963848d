// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The processor time, user and system, that all threads of this process have used so far.

#include <sys/resource.h>

#include "Common/Time.h"

namespace yardhill::common
{
inline duration process_cpu_time()
{
  rusage used{};
  ::getrusage(RUSAGE_SELF, &used);
  const auto to_duration = [](const timeval& time)
  { return std::chrono::seconds(time.tv_sec) + std::chrono::microseconds(time.tv_usec); };
  return to_duration(used.ru_utime) + to_duration(used.ru_stime);
}
} // namespace yardhill::common
