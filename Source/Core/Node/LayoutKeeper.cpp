// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/LayoutKeeper.h"

#include <algorithm>

#include "Common/EventLog.h"
#include "Node/OwnerRow.h"

namespace yardhill::node
{
namespace
{
// Instances that start together have found each other by then.
constexpr std::chrono::milliseconds k_settle{1000};
// Workers announce themselves within some seconds of the cell's start. Their number is believed
// once it has not grown for a heartbeat, and in any case after the longer time: callers wait.
constexpr std::chrono::milliseconds k_steady{1500};
constexpr std::chrono::milliseconds k_longest_count{7000};
constexpr std::chrono::milliseconds k_write_timeout{900};
constexpr std::chrono::milliseconds k_retry_pause{200};
// An owner takes a quarter of a core for so many workers under load.
constexpr std::size_t k_workers_a_partition = 275;
// Each partition's owner has instances to follow it, and to ask for advice through.
constexpr std::size_t k_instances_a_partition = 36;
constexpr std::size_t k_most_partitions = 16;
} // namespace

layout_keeper::layout_keeper(common::timekeeper& time, adapter::store_client& store,
                             std::size_t fixed)
    : m_time(time), m_store(store), m_fixed(fixed), m_alive(std::make_shared<int>(0))
{
}

layout_keeper::~layout_keeper() = default;

void layout_keeper::take_in(const adapter::row& row)
{
  if (m_layout || row.removed)
    return;
  if (row.at == layout_key())
  {
    const auto told = layout_row_from(row.value);
    if (told)
      set(told->partitions, "the store tells it");
    else
      common::log_process("row_damaged", {{"table", k_owners_table},
                                          {"key", row.at.key},
                                          {"error", common::to_text(told.error())}});
    return;
  }
  if (row.at.part == k_whole_cell && row.at.key == k_owner_key)
    set(1, "the whole cell has an owner");
}

void layout_keeper::set(std::size_t partitions, const char* why)
{
  m_layout.emplace(partitions);
  common::log_process("layout_known", {{"partitions", partitions}, {"why", why}});
}

std::optional<std::size_t> layout_keeper::decision(const cell_size& size, common::time_point now)
{
  if (m_fixed > 0)
    return m_fixed;
  // Instances are found one after the other by one that starts slowly.
  if (!m_began || size.instances > m_instances)
    m_began = now;
  m_instances = size.instances;
  if (now - *m_began < k_settle)
    return std::nullopt;
  const std::size_t by_instances = size.instances / k_instances_a_partition;
  if (by_instances <= 1)
    return 1;
  if (!m_counting_since)
    m_counting_since = m_grew_at = now;
  if (size.workers > m_workers)
    m_grew_at = now;
  m_workers = std::max(m_workers, size.workers);
  const bool settled = m_workers > 0 && now - m_grew_at >= k_steady;
  if (!settled && now - *m_counting_since < k_longest_count)
    return std::nullopt;
  return std::clamp<std::size_t>(std::min(m_workers / k_workers_a_partition, by_instances), 1,
                                 k_most_partitions);
}

void layout_keeper::tick(const cell_size& size)
{
  const common::time_point now = m_time.now();
  if (m_layout || !m_rows_read || m_writing || now < m_try_after)
    return;
  if (const auto partitions = decision(size, now))
  {
    common::log_process(
        "layout_decided",
        {{"partitions", *partitions}, {"instances", size.instances}, {"workers", m_workers}});
    write(*partitions);
  }
}

void layout_keeper::write(std::size_t partitions)
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

// Without a sure answer the row may come yet, with this number or with another instance's: the next
// try meets it, or the feed brings it.
void layout_keeper::on_written(const adapter::transaction_result& result, std::size_t partitions)
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
  m_try_after = m_time.now() + k_retry_pause;
}
} // namespace yardhill::node
