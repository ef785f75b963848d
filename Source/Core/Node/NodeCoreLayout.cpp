// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// An instance's part in the cell's partitions: learning how many there are, and how much processor
// one more of them would get here.

#include "Node/NodeCore.h"

#include <algorithm>
#include <utility>

#include "Common/EventLog.h"
#include "Common/Hash.h"

namespace yardhill::node
{
namespace
{
// Rows of ended jobs stay this many times as long as callers may ask for them.
constexpr int k_keep_factor = 2;
// A layout that comes through a peer is asked for this often, and has so long to come.
constexpr std::chrono::milliseconds k_fetch_period{1500};
} // namespace

void node_core::decide_layout()
{
  if (!m_partitions.empty())
    return;
  fetch_layout();
  const ownership_options options;
  const bool others_first =
      m_peers.strongest() > options.much_stronger * static_cast<double>(m_processor_millis);
  if (!others_first && !m_stopping && m_queues.version != 0 && !m_store_path.isolated())
    m_layout.tick({m_peers.count() + 1, m_worker_entries.size()});
  if (m_layout.layout())
    divide();
}

// The direct way to the store does not bring the owners' rows: they are read through a peer.
void node_core::fetch_layout()
{
  const common::time_point now = m_world.time.now();
  if (m_owner_feed.loaded() || now - m_layout_fetched < k_fetch_period)
    return;
  if (std::exchange(m_layout_fetched, now) == common::time_point{})
    return;
  m_store.read({k_owners_table, k_whole_cell, {}, {}, 2}, k_fetch_period,
               [this](const adapter::rows_result& result) { on_owner_rows(result.rows); });
}

void node_core::read_owners_anew()
{
  if (!std::exchange(m_reads_owners_anew, false))
    return;
  m_owner_feed.read_parts(m_layout.layout()->names());
  m_owner_feed.start();
}

void node_core::divide()
{
  const cell_layout& layout = *m_layout.layout();
  const node_parts parts{m_world.time,
                         m_store,
                         m_feed_store,
                         m_store_path,
                         m_store_clock,
                         m_workers,
                         m_advice,
                         m_world.metrics,
                         m_world.send_to_peer,
                         m_worker_entries,
                         [this] { return m_worker_feed.loaded(); },
                         m_capacities,
                         m_loop,
                         m_queues,
                         layout,
                         [this](const std::string& partition) { return spare_millis(partition); },
                         [this] { return m_peers.strongest(); }};
  ownership_options options;
  options.keep_ended = k_keep_factor * m_keep_status;
  for (const std::string& name : layout.names())
    m_partitions.push_back(std::make_unique<partition_owner>(parts, m_self, name, options));
  // Instances that compete for partitions without owners begin with different ones.
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
  m_reads_owners_anew = layout.size() > 1;
  m_gateway.divided();
}

std::size_t node_core::owned() const
{
  return static_cast<std::size_t>(std::count_if(m_partitions.begin(), m_partitions.end(),
                                                [](const auto& each)
                                                { return each->needs_workers(); }));
}

std::uint32_t node_core::shared_millis(std::size_t owned) const
{
  const bool several = m_partitions.size() > 1;
  return several ? m_processor_millis / static_cast<std::uint32_t>(owned + 1) : m_processor_millis;
}

// Of several partitions that it owns, the first ones have the first claim, so that it gives back
// the last ones alone.
std::uint32_t node_core::spare_millis(const std::string& partition) const
{
  std::size_t before = 0;
  for (const auto& each : m_partitions)
  {
    if (each->partition() != partition)
    {
      before += each->needs_workers() ? 1 : 0;
      continue;
    }
    if (each->needs_workers())
      break;
  }
  return shared_millis(before);
}

void node_core::tell_strength()
{
  m_told_strength = shared_millis(owned());
  for (const std::string& peer : m_linked)
    m_world.send_to_peer(peer, common::processor_capacity_report{m_told_strength});
}
} // namespace yardhill::node
