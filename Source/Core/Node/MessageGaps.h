// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The longest time lately between two messages of a peer that sends some all the time. A peer whose
// messages come late is busy; one without any for much longer than that is gone.

#include <algorithm>

#include "Common/Time.h"

namespace yardhill::node
{
class message_gaps
{
public:
  // A gap longer than `most` is an outage and says nothing of how busy the peer is.
  explicit message_gaps(common::duration most) : m_most(most) {}

  void note(common::duration gap, common::time_point now)
  {
    roll(now);
    if (gap <= m_most)
      m_present = std::max(m_present, gap);
  }

  common::duration longest(common::time_point now) const
  {
    const common::duration age = now - m_begun;
    if (age >= 2 * k_period)
      return {};
    return age >= k_period ? m_present : std::max(m_present, m_former);
  }

private:
  // A gap is remembered for one to two periods.
  static constexpr std::chrono::seconds k_period{10};

  void roll(common::time_point now)
  {
    if (now - m_begun < k_period)
      return;
    m_former = now - m_begun < 2 * k_period ? m_present : common::duration{};
    m_present = {};
    m_begun = now;
  }

  common::duration m_most;
  common::time_point m_begun{};
  common::duration m_present{};
  common::duration m_former{};
};
} // namespace yardhill::node
