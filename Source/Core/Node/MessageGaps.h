// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The longest recent time between two messages of a peer that sends messages periodically. A peer
// whose messages come late is busy; a peer that has sent nothing for much longer than that is gone.

#include <algorithm>

#include "Common/Time.h"

namespace yardhill::node
{
class message_gaps
{
public:
  // A gap longer than `max_gap` is an outage and does not show how busy the peer is.
  explicit message_gaps(common::duration max_gap) : m_max_gap(max_gap) {}

  void record(common::duration gap, common::time_point now)
  {
    advance_period(now);
    if (gap <= m_max_gap)
      m_current = std::max(m_current, gap);
  }

  common::duration longest(common::time_point now) const
  {
    const common::duration age = now - m_period_start;
    if (age >= 2 * k_period)
      return {};
    return age >= k_period ? m_current : std::max(m_current, m_previous);
  }

private:
  // A gap counts for one to two periods.
  static constexpr std::chrono::seconds k_period{10};

  void advance_period(common::time_point now)
  {
    if (now - m_period_start < k_period)
      return;
    m_previous = now - m_period_start < 2 * k_period ? m_current : common::duration{};
    m_current = {};
    m_period_start = now;
  }

  common::duration m_max_gap;
  common::time_point m_period_start{};
  common::duration m_current{};
  common::duration m_previous{};
};
} // namespace yardhill::node
