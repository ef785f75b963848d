// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/StartWaitEstimator.h"

#include <algorithm>

#include "Common/EventLog.h"

namespace yardhill::scheduling
{
void start_wait_estimator::record_first_start(std::uint32_t priority, time_point now)
{
  std::deque<time_point>& starts = m_first_starts[priority];
  starts.push_back(now);
  while (now - starts.front() > k_rate_window)
    starts.pop_front();
}

void start_wait_estimator::record_pass(bool short_of_starts, time_point now)
{
  if (!m_first_pass)
    m_first_pass = now;
  if (short_of_starts)
  {
    m_latest_short_pass = now;
    if (!m_budget_short_since)
      m_budget_short_since = now;
    if (now - *m_budget_short_since >= k_overload_onset)
      set_overloaded(true);
    return;
  }
  // Before the overload begins, a single pass with enough budget restarts the onset time.
  if (m_overloaded && now - m_latest_short_pass < k_overload_end)
    return;
  m_budget_short_since.reset();
  set_overloaded(false);
}

void start_wait_estimator::set_overloaded(bool overloaded)
{
  if (overloaded == m_overloaded)
    return;
  m_overloaded = overloaded;
  common::log_process("overloaded", {{"overloaded", overloaded}});
}

std::map<std::uint32_t, std::chrono::milliseconds>
start_wait_estimator::estimated_waits(const std::map<std::uint32_t, std::uint64_t>& waiting,
                                      time_point now) const
{
  std::map<std::uint32_t, std::chrono::milliseconds> waits;
  if (!m_overloaded)
    return waits;
  const duration span = std::min<duration>(k_rate_window, now - *m_first_pass);
  for (const auto& [priority, jobs] : waiting)
  {
    const auto found = m_first_starts.find(priority);
    std::int64_t started = 0;
    if (found != m_first_starts.end())
      started = std::count_if(found->second.begin(), found->second.end(),
                              [now](time_point each) { return now - each <= k_rate_window; });
    const duration wait =
        span * static_cast<std::int64_t>(jobs) / std::max<std::int64_t>(started, 1);
    waits[priority] = common::to_milliseconds(wait);
  }
  return waits;
}
} // namespace yardhill::scheduling
