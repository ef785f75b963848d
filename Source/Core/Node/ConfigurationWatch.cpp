// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/ConfigurationWatch.h"

#include <algorithm>

namespace yardhill::node
{
namespace
{
// The first byte of a change may wait so long at a link that is not choked yet, and tells only then
// that there is one.
constexpr std::chrono::milliseconds k_margin{500};
// So long after the store was last heard a version may have come and be due. A machine that has
// just come out of a trouble counts as in touch after the same time (the platform's contact_ms).
constexpr std::chrono::seconds k_longest_unheard{3};
// What a peer said of its way to the store counts for so long; an instance in doubt asks four times
// a second. Peers that were not asked say nothing: taking them for well refused callers while the
// store was away for all (0.05 of a day's worth with 34 instances).
constexpr std::chrono::seconds k_report_counts{1};
} // namespace

configuration_watch::configuration_watch(common::timekeeper& time, const table_feed& feed,
                                         const store_path& path, const jobs::queue_table& queues,
                                         common::duration limit)
    : m_time(time), m_feed(feed), m_path(path), m_queues(queues), m_limit(limit - k_margin)
{
}

void configuration_watch::peer_told(const common::store_reachability_report& report)
{
  if (report.has_way)
    m_peer_reached_at = m_time.now();
  const std::uint64_t newest = report.newest_config;
  if (newest == m_queues.version)
  {
    m_vouched_at = m_time.now();
    return;
  }
  if (newest < m_queues.version)
    return;
  if (!newer_elsewhere())
    m_newer_since = m_time.now();
  m_newer = std::max(m_newer, newest);
}

std::uint64_t configuration_watch::newest() const
{
  return m_feed.behind_since() || newer_elsewhere() ? 0 : m_queues.version;
}

bool configuration_watch::late() const
{
  if (m_queues.version == 0)
    return false;
  const common::time_point now = m_time.now();
  if (newer_elsewhere() && now - m_newer_since > m_limit)
    return true;
  const auto behind = m_feed.behind_since();
  if (!behind)
    return false;
  if (m_feed.healthy_since())
    return now - *behind > m_limit; // the change is on its way here
  const common::time_point known = std::max(*behind, m_vouched_at);
  return now - known > k_longest_unheard &&
         (!m_path.in_doubt() || now - m_peer_reached_at < k_report_counts);
}
} // namespace yardhill::node
