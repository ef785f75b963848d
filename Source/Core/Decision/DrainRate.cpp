// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Decision/DrainRate.h"

namespace yardhill::decision
{
namespace
{
constexpr double k_interval_smoothing = 0.1;
} // namespace

void drain_rate::record_pass(std::size_t started, std::size_t waiting, time_point now)
{
  if (waiting == 0)
  {
    m_last_start = time_point{};
    return;
  }
  if (started == 0)
    return;
  if (m_last_start != time_point{})
  {
    const auto interval =
        static_cast<double>((now - m_last_start).count()) / static_cast<double>(started);
    m_start_interval_us += k_interval_smoothing * (interval - m_start_interval_us);
  }
  m_last_start = now;
}

duration drain_rate::expected_wait(std::size_t ahead) const
{
  return duration{static_cast<duration::rep>(m_start_interval_us * static_cast<double>(ahead))};
}
} // namespace yardhill::decision
