// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/StoreClock.h"

#include <chrono>

namespace yardhill::node
{
namespace
{
// The store tells whole milliseconds.
constexpr std::chrono::milliseconds k_rounding{1};
// A sample is replaced by a wider one after this time: clocks of machines drift by up to some
// 0.1 ms a second against each other, and the slack of each lease is 150 ms.
constexpr std::chrono::seconds k_sample_life{60};
} // namespace

void store_clock::heard(std::optional<adapter::store_time> clock, common::time_point sent,
                        common::time_point received)
{
  if (!clock)
    return;
  const sample latest{*clock - k_rounding - received.time_since_epoch(),
                      *clock + k_rounding - sent.time_since_epoch(), received};
  const bool narrower = !m_best || latest.most - latest.least <= m_best->most - m_best->least;
  if (narrower || received - m_best->taken > k_sample_life)
    m_best = latest;
}

std::optional<adapter::store_time> store_clock::store_time_at(common::time_point at) const
{
  if (!m_best)
    return std::nullopt;
  return std::chrono::ceil<adapter::store_time>(at.time_since_epoch() + m_best->most);
}

std::optional<common::time_point> store_clock::time_at(adapter::store_time at) const
{
  if (!m_best)
    return std::nullopt;
  return common::time_point(common::duration(at) - m_best->least);
}
} // namespace yardhill::node
