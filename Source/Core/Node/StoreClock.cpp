// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/StoreClock.h"

#include <algorithm>

namespace yardhill::node
{
namespace
{
// Clocks drift apart, so answers of long ago do not count: two such periods of a clock that is off
// by one in 500 come to 40 ms.
constexpr std::chrono::seconds k_period{10};
} // namespace

void store_clock::heard(adapter::store_time named)
{
  const common::time_point now = m_time.now();
  if (now - m_period_began >= k_period)
  {
    m_ahead_earlier = m_ahead;
    m_ahead.reset();
    m_period_began = now;
  }
  // A long way makes the store's clock seem to be behind.
  const common::duration ahead = named.time_since_epoch() - now.time_since_epoch();
  m_ahead = std::max(m_ahead.value_or(ahead), ahead);
}

std::optional<common::duration> store_clock::ahead() const
{
  return m_ahead_earlier ? std::max(m_ahead, m_ahead_earlier) : m_ahead;
}

std::optional<adapter::store_time> store_clock::at(common::time_point moment) const
{
  const auto difference = ahead();
  if (!difference)
    return std::nullopt;
  return adapter::store_time(
      std::chrono::floor<std::chrono::milliseconds>(moment.time_since_epoch() + *difference));
}

std::optional<common::duration> store_clock::age_of(adapter::store_time when) const
{
  const auto now = at(m_time.now());
  if (!now)
    return std::nullopt;
  return std::max<common::duration>(*now - when, common::duration{0});
}
} // namespace yardhill::node
