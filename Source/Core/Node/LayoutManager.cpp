// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/LayoutManager.h"

#include <algorithm>

#include "Common/EventLog.h"
#include "Node/OwnerRow.h"

namespace yardhill::node
{
namespace
{
// Instances that start together have found each other within this time.
constexpr std::chrono::milliseconds k_instance_discovery_time{1000};
// Workers register within some seconds of the cell's start. Their number is considered final once
// it has not grown for a heartbeat (k_stable_worker_count_time), and in any case after
// k_max_worker_count_time, because callers are waiting.
constexpr std::chrono::milliseconds k_stable_worker_count_time{1500};
constexpr std::chrono::milliseconds k_max_worker_count_time{7000};
constexpr std::chrono::milliseconds k_write_timeout{900};
constexpr std::chrono::milliseconds k_retry_pause{200};
// An owner uses a quarter of a core for this many workers under load.
constexpr std::size_t k_workers_per_partition = 275;
// Each partition's owner needs instances that follow it and through which it asks for advice.
constexpr std::size_t k_instances_per_partition = 36;
constexpr std::size_t k_max_partitions = 16;
} // namespace

layout_manager::layout_manager(common::timekeeper& time, adapter::store_client& store,
                               std::size_t fixed)
    : m_time(time), m_store(store), m_fixed(fixed), m_alive(std::make_shared<int>(0))
{
}

layout_manager::~layout_manager() = default;

void layout_manager::take_in(const adapter::row& row)
{
  if (m_layout || row.removed)
    return;
  if (row.at == layout_key())
  {
    const auto parsed = layout_row_from(row.value);
    if (parsed)
      set(parsed->partitions, "read from the store");
    else
      common::log_process("row_damaged", {{"table", k_owners_table},
                                          {"key", row.at.key},
                                          {"error", common::to_text(parsed.error())}});
    return;
  }
  if (row.at.part == k_whole_cell && row.at.key == k_owner_key)
    set(1, "the whole cell has an owner");
}

void layout_manager::set(std::size_t partitions, const char* why)
{
  m_layout.emplace(partitions);
  common::log_process("layout_known", {{"partitions", partitions}, {"why", why}});
}

std::optional<std::size_t> layout_manager::decide(const cell_size& size, common::time_point now)
{
  if (m_fixed > 0)
    return m_fixed;
  // An instance that starts slowly finds the other instances one after the other.
  if (!m_instances_stable_since || size.instances > m_instances)
    m_instances_stable_since = now;
  m_instances = size.instances;
  if (now - *m_instances_stable_since < k_instance_discovery_time)
    return std::nullopt;
  const std::size_t by_instances = size.instances / k_instances_per_partition;
  if (by_instances <= 1)
    return 1;
  if (!m_counting_since)
    m_counting_since = m_workers_grew_at = now;
  if (size.workers > m_workers)
    m_workers_grew_at = now;
  m_workers = std::max(m_workers, size.workers);
  const bool settled = m_workers > 0 && now - m_workers_grew_at >= k_stable_worker_count_time;
  if (!settled && now - *m_counting_since < k_max_worker_count_time)
    return std::nullopt;
  return std::clamp<std::size_t>(std::min(m_workers / k_workers_per_partition, by_instances), 1,
                                 k_max_partitions);
}

void layout_manager::tick(const cell_size& size)
{
  const common::time_point now = m_time.now();
  if (m_layout || !m_rows_read || m_writing || now < m_next_attempt)
    return;
  if (const auto partitions = decide(size, now))
  {
    common::log_process(
        "layout_decided",
        {{"partitions", *partitions}, {"instances", size.instances}, {"workers", m_workers}});
    write(*partitions);
  }
}

void layout_manager::write(std::size_t partitions)
{
  m_writing = true;
  adapter::transaction change;
  change.conditions.push_back({layout_key(), 0});
  change.puts.push_back({layout_key(), to_row_text(layout_row{partitions})});
  m_store.transact(change, k_write_timeout,
                   [this, partitions,
                    alive = std::weak_ptr<int>(m_alive)](const adapter::transaction_result& result)
                   {
                     if (!alive.expired())
                       on_written(result, partitions);
                   });
}

// Without a definite reply the row may still be written, with this number or with another
// instance's: the next attempt conflicts with it, or the feed delivers it.
void layout_manager::on_written(const adapter::transaction_result& result, std::size_t partitions)
{
  m_writing = false;
  if (m_layout)
    return;
  if (result.end == adapter::store_outcome::done)
  {
    set(partitions, "decided here");
    return;
  }
  for (const adapter::row& each : result.conflicting)
    take_in(each);
  m_next_attempt = m_time.now() + k_retry_pause;
}
} // namespace yardhill::node
