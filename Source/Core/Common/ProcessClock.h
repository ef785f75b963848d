// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The processor time that all threads of this process have used.

#include <sys/resource.h>

#include "Common/Time.h"

namespace yardhill::common
{
inline duration process_cpu_time()
{
  rusage used{};
  ::getrusage(RUSAGE_SELF, &used);
  const auto of = [](const timeval& time)
  { return std::chrono::seconds(time.tv_sec) + std::chrono::microseconds(time.tv_usec); };
  return of(used.ru_utime) + of(used.ru_stime);
}
} // namespace yardhill::common
