// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/ConfigurationWatch.h"

#include <algorithm>

namespace yardhill::node
{
namespace
{
// The first byte of a change may be queued this long on a link that is not saturated yet, and only
// that byte shows that there is a change.
constexpr std::chrono::milliseconds k_safety_margin{500};
// Once the store has been silent for this long, a newer version may have been confirmed and be due.
// A machine that has just recovered from a fault counts as reachable after the same time (the
// platform's contact_ms).
constexpr std::chrono::seconds k_max_store_silence{3};
// How long a peer's report on its path to the store is used; an instance in doubt queries peers
// four times a second. Peers that were not queried report nothing: counting them as connected made
// instances refuse callers while the store was unavailable to all (0.05 of a day's worth with 34
// instances).
constexpr std::chrono::seconds k_report_validity{1};
} // namespace

configuration_watch::configuration_watch(common::timekeeper& time, const table_feed& feed,
                                         const store_path& path, const jobs::queue_table& queues,
                                         common::duration limit)
    : m_time(time), m_feed(feed), m_path(path), m_queues(queues), m_limit(limit - k_safety_margin)
{
}

void configuration_watch::on_peer_report(const common::store_reachability_report& report)
{
  if (report.has_way)
    m_peer_reached_store_at = m_time.now();
  const std::uint64_t newest = report.newest_config;
  if (newest == m_queues.version)
  {
    m_confirmed_at = m_time.now();
    return;
  }
  if (newest < m_queues.version)
    return;
  if (!peer_has_newer())
    m_peer_version_since = m_time.now();
  m_peer_version = std::max(m_peer_version, newest);
}

std::uint64_t configuration_watch::newest() const
{
  return m_feed.behind_since() || peer_has_newer() ? 0 : m_queues.version;
}

bool configuration_watch::may_be_outdated() const
{
  if (m_queues.version == 0)
    return false;
  const common::time_point now = m_time.now();
  if (peer_has_newer() && now - m_peer_version_since > m_limit)
    return true;
  const auto behind = m_feed.behind_since();
  if (!behind)
    return false;
  if (m_feed.healthy_since())
    return now - *behind > m_limit; // the change is being received
  const common::time_point known = std::max(*behind, m_confirmed_at);
  return now - known > k_max_store_silence &&
         (!m_path.in_doubt() || now - m_peer_reached_store_at < k_report_validity);
}
} // namespace yardhill::node
