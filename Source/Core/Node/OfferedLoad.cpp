// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/OfferedLoad.h"

namespace yardhill::node
{
void offered_load::record(const std::string& partition, std::uint32_t priority,
                          std::int64_t cpu_millis, common::time_point now)
{
  std::deque<submission>& submissions = m_submissions[partition];
  submissions.push_back({now, priority, cpu_millis});
  while (now - submissions.front().at > k_rate_window)
    submissions.pop_front();
}

std::int64_t offered_load::arrived_since(common::time_point reported, const std::string& partition,
                                         std::uint32_t priority, std::size_t instances,
                                         common::time_point now) const
{
  const auto found = m_submissions.find(partition);
  if (found == m_submissions.end())
    return 0;
  double in_window = 0;
  for (const submission& each : found->second)
  {
    if (each.priority <= priority && now - each.at <= k_rate_window)
      in_window += static_cast<double>(each.cpu_millis);
  }
  const std::chrono::duration<double> window = k_rate_window;
  const std::chrono::duration<double> age = now - reported;
  return static_cast<std::int64_t>(in_window * static_cast<double>(instances) * (age / window));
}
} // namespace yardhill::node
