// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/StoreClock.h"

#include <algorithm>

namespace yardhill::node
{
namespace
{
using std::chrono::milliseconds;

// The store tells whole milliseconds.
constexpr milliseconds k_rounding{1};
// Clocks drift apart, so answers of long ago do not count: two such periods of a clock that is off
// by one in 500 come to 40 ms, and the slack of each lease is 150 ms.
constexpr std::chrono::seconds k_period{10};
constexpr milliseconds k_drift{40};
} // namespace

void store_clock::heard(adapter::store_time named, common::time_point sent)
{
  const common::time_point received = m_time.now();
  const common::duration passed = received - m_period_began;
  if (passed >= k_period)
  {
    m_earlier = passed < 2 * k_period ? m_current : std::nullopt;
    m_current.reset();
    m_period_began = received;
  }
  const bounds latest{named.time_since_epoch() - received.time_since_epoch(),
                      named.time_since_epoch() + k_rounding - sent.time_since_epoch()};
  // No drift explains it: the store's clock has been set, and what was heard was of another one.
  const auto before = known();
  if (before && (latest.most + k_drift < before->least || before->most + k_drift < latest.least))
  {
    m_current.reset();
    m_earlier.reset();
  }
  // A long way back makes the store's clock seem to be behind, a long way there ahead.
  m_current = m_current ? bounds{std::max(m_current->least, latest.least),
                                 std::min(m_current->most, latest.most)}
                        : latest;
}

std::optional<store_clock::bounds> store_clock::known() const
{
  if (!m_current || !m_earlier)
    return m_current;
  return bounds{std::max(m_current->least, m_earlier->least),
                std::min(m_current->most, m_earlier->most)};
}

std::optional<adapter::store_time> store_clock::earliest_store_time(common::time_point moment) const
{
  const auto ahead = known();
  if (!ahead)
    return std::nullopt;
  return adapter::store_time(
      std::chrono::floor<milliseconds>(moment.time_since_epoch() + ahead->least));
}

std::optional<adapter::store_time> store_clock::latest_store_time(common::time_point moment) const
{
  const auto ahead = known();
  if (!ahead)
    return std::nullopt;
  return adapter::store_time(
      std::chrono::ceil<milliseconds>(moment.time_since_epoch() + ahead->most));
}

std::optional<common::time_point> store_clock::latest_local_time(adapter::store_time moment) const
{
  const auto ahead = known();
  if (!ahead)
    return std::nullopt;
  return common::time_point(moment.time_since_epoch() - ahead->least);
}

std::optional<common::duration> store_clock::age_of(adapter::store_time when) const
{
  const auto shown = earliest_store_time(m_time.now());
  if (!shown)
    return std::nullopt;
  return std::max<common::duration>(*shown - when, common::duration{0});
}
} // namespace yardhill::node
