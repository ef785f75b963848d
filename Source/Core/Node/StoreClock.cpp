// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/StoreClock.h"

#include <algorithm>

namespace yardhill::node
{
namespace
{
using std::chrono::milliseconds;

// The store reports whole milliseconds.
constexpr milliseconds k_rounding{1};
// Clocks drift apart, so replies older than two periods are not used: over two periods, a clock
// that is off by one in 500 drifts by 40 ms, and the slack of each lease is 150 ms.
constexpr std::chrono::seconds k_observation_period{10};
constexpr milliseconds k_max_drift{40};
} // namespace

void store_clock::heard(adapter::store_time store_now, common::time_point sent)
{
  const common::time_point received = m_time.now();
  const common::duration passed = received - m_period_began;
  if (passed >= k_observation_period)
  {
    m_previous = passed < 2 * k_observation_period ? m_current : std::nullopt;
    m_current.reset();
    m_period_began = received;
  }
  const bounds latest{store_now.time_since_epoch() - received.time_since_epoch(),
                      store_now.time_since_epoch() + k_rounding - sent.time_since_epoch()};
  // Drift cannot explain the difference: the store's clock has been set, and earlier replies were
  // about another clock.
  const auto previous = offset_bounds();
  if (previous &&
      (latest.most + k_max_drift < previous->least || previous->most + k_max_drift < latest.least))
  {
    m_current.reset();
    m_previous.reset();
  }
  // A slow reply makes the store's clock seem to be behind, and a slow request makes it seem to be
  // ahead, so the tightest bounds are kept.
  m_current = m_current ? bounds{std::max(m_current->least, latest.least),
                                 std::min(m_current->most, latest.most)}
                        : latest;
}

std::optional<store_clock::bounds> store_clock::offset_bounds() const
{
  if (!m_current || !m_previous)
    return m_current;
  return bounds{std::max(m_current->least, m_previous->least),
                std::min(m_current->most, m_previous->most)};
}

std::optional<adapter::store_time> store_clock::earliest_store_time(common::time_point moment) const
{
  const auto offset = offset_bounds();
  if (!offset)
    return std::nullopt;
  return adapter::store_time(
      std::chrono::floor<milliseconds>(moment.time_since_epoch() + offset->least));
}

std::optional<adapter::store_time> store_clock::latest_store_time(common::time_point moment) const
{
  const auto offset = offset_bounds();
  if (!offset)
    return std::nullopt;
  return adapter::store_time(
      std::chrono::ceil<milliseconds>(moment.time_since_epoch() + offset->most));
}

std::optional<common::time_point> store_clock::latest_local_time(adapter::store_time moment) const
{
  const auto offset = offset_bounds();
  if (!offset)
    return std::nullopt;
  return common::time_point(moment.time_since_epoch() - offset->least);
}

std::optional<common::duration> store_clock::age_of(adapter::store_time when) const
{
  const auto now_at_store = earliest_store_time(m_time.now());
  if (!now_at_store)
    return std::nullopt;
  return std::max<common::duration>(*now_at_store - when, common::duration{0});
}
} // namespace yardhill::node
