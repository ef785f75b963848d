// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/LoopMonitor.h"

#include <algorithm>
#include <utility>

namespace yardhill::node
{
void loop_monitor::record_tick(common::time_point due, common::time_point actual)
{
  m_latest = std::max(common::duration{0}, actual - due);
  m_worst = std::max(m_worst, m_latest);
  while (!m_window.empty() && m_window.back().lateness <= m_latest)
    m_window.pop_back();
  m_window.push_back({actual, m_latest});
  while (actual - m_window.front().actual > k_window)
    m_window.pop_front();
}

common::duration loop_monitor::lateness() const
{
  return m_window.empty() ? common::duration{0} : m_window.front().lateness;
}

common::duration loop_monitor::take_worst()
{
  return std::exchange(m_worst, common::duration{0});
}
} // namespace yardhill::node
