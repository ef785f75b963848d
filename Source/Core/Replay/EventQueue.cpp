// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Replay/EventQueue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace yardhill::replay
{
bool event_queue::entry::operator>(const entry& other) const
{
  return std::tie(when, number) > std::tie(other.when, other.number);
}

void event_queue::at(time_point when, action callback)
{
  m_entries.push({std::max(when, m_now), m_scheduled++, std::move(callback)});
}

void event_queue::run(time_point end, const std::function<bool()>& stop)
{
  while (!m_entries.empty() && m_entries.top().when <= end && !stop())
  {
    const entry next = m_entries.top();
    m_entries.pop();
    m_now = next.when;
    next.callback();
  }
  m_now = end;
}
} // namespace yardhill::replay
