// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// How an instance takes part in the cell's partitions: it learns how many there are, and computes
// the processor time that one more of them would get on this instance.

#include "Node/NodeCore.h"

#include <algorithm>
#include <utility>

#include "Common/EventLog.h"
#include "Common/Hash.h"

namespace yardhill::node
{
namespace
{
// Rows of ended jobs are retained this many times as long as callers may query the jobs' state.
constexpr int k_ended_retention_factor = 2;
// Period of the requests for a layout through a peer, and the timeout of each request.
constexpr std::chrono::milliseconds k_fetch_period{1500};
} // namespace

void node_core::decide_layout()
{
  if (!m_partitions.empty())
    return;
  fetch_layout();
  const ownership_options options;
  const bool stronger_peer_exists =
      m_peers.strongest() > options.stronger_peer_factor * static_cast<double>(m_processor_millis);
  if (!stronger_peer_exists && !m_stopping && m_queues.version != 0 && !m_store_path.isolated())
    m_layout.tick({m_peers.count() + 1, m_worker_entries.size()});
  if (m_layout.layout())
    create_partitions();
}

// While the feed, on the direct path to the store, has not delivered the owner rows, reads them
// through a peer.
void node_core::fetch_layout()
{
  const common::time_point now = m_environment.time.now();
  if (m_owner_feed.loaded() || now - m_layout_fetched_at < k_fetch_period)
    return;
  if (std::exchange(m_layout_fetched_at, now) == common::time_point{})
    return;
  m_store.read({k_owners_table, k_whole_cell, {}, {}, 2}, k_fetch_period,
               [this](const adapter::rows_result& result) { on_owner_rows(result.rows); });
}

void node_core::reread_owners()
{
  if (!std::exchange(m_owners_reread_due, false))
    return;
  m_owner_feed.set_parts(m_layout.layout()->names());
  m_owner_feed.start();
}

void node_core::create_partitions()
{
  const cell_layout& layout = *m_layout.layout();
  const owner_dependencies parts{m_environment.time,
                                 m_store,
                                 m_feed_store,
                                 m_store_path,
                                 m_store_clock,
                                 m_workers,
                                 m_advice,
                                 m_environment.metrics,
                                 m_environment.send_to_peer,
                                 m_worker_entries,
                                 [this] { return m_worker_feed.loaded(); },
                                 m_capacities,
                                 m_loop,
                                 m_queues,
                                 layout,
                                 [this](const std::string& partition)
                                 { return spare_millis(partition); },
                                 [this] { return m_peers.strongest(); }};
  ownership_options options;
  options.rows = m_jobs.limits();
  options.ended_job_retention = k_ended_retention_factor * m_status_retention;
  for (const std::string& name : layout.names())
    m_partitions.push_back(std::make_unique<partition_owner>(parts, m_self, name, options));
  // Instances that compete for partitions without owners should start with different partitions.
  const std::size_t first = common::stable_hash(m_self.name) % m_partitions.size();
  std::rotate(m_partitions.begin(), m_partitions.begin() + static_cast<std::ptrdiff_t>(first),
              m_partitions.end());
  if (layout.size() > 1)
    m_advice.share_with_other_owners(m_self.name);
  if (m_stopping)
  {
    for (const auto& each : m_partitions)
      each->hand_over();
  }
  m_owners_reread_due = layout.size() > 1;
  m_gateway.layout_known();
}

std::size_t node_core::owned() const
{
  return static_cast<std::size_t>(std::count_if(m_partitions.begin(), m_partitions.end(),
                                                [](const auto& each)
                                                { return each->needs_worker_entries(); }));
}

std::uint32_t node_core::shared_millis(std::size_t owned) const
{
  const bool several = m_partitions.size() > 1;
  return several ? m_processor_millis / static_cast<std::uint32_t>(owned + 1) : m_processor_millis;
}

// Among the partitions that this instance owns, earlier ones have the first claim on its processor
// time, so that an overcommitted instance releases only the last ones.
std::uint32_t node_core::spare_millis(const std::string& partition) const
{
  std::size_t before = 0;
  for (const auto& each : m_partitions)
  {
    if (each->partition() != partition)
    {
      before += each->needs_worker_entries() ? 1 : 0;
      continue;
    }
    if (each->needs_worker_entries())
      break;
  }
  return shared_millis(before);
}

void node_core::report_strength()
{
  m_reported_strength = shared_millis(owned());
  for (const std::string& peer : m_linked)
    m_environment.send_to_peer(peer, common::processor_capacity_report{m_reported_strength});
}
} // namespace yardhill::node
