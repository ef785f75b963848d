// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Decision/TaskTable.h"

namespace yardhill::decision
{
namespace
{
// Approximate memory of one record and its entries in the containers, without payload and body.
constexpr std::size_t k_record_bytes = 512;
} // namespace

task_record* task_table::find(const task_id& id)
{
  const auto found = m_records.find(id);
  return found == m_records.end() ? nullptr : found->second.get();
}

task_record& task_table::create(const task_spec& spec, time_point now)
{
  auto record = std::make_unique<task_record>();
  record->spec = spec;
  record->accepted_at = now;
  record->started_at = now;
  record->sequence = m_next_sequence++;
  const duration aged = m_options.ageing_step * spec.priority;
  record->queue_key = (now - aged).time_since_epoch().count();
  if (spec.deadline > duration{0})
    record->due = now + spec.deadline;
  task_record& created = *record;
  m_records[spec.id] = std::move(record);
  return created;
}

void task_table::erase(const task_id& id)
{
  m_records.erase(id);
}

void task_table::clear()
{
  m_records.clear();
  m_retained.clear();
  m_retained_bytes = 0;
}

void task_table::retain(const task_record& ended, time_point now)
{
  const std::size_t body = ended.final_answer ? ended.final_answer->body.size() : 0;
  const std::size_t bytes = k_record_bytes + ended.spec.payload.size() + body;
  m_retained.push_back({ended.spec.id, now + m_options.retention, bytes});
  m_retained_bytes += bytes;
  evict(now);
}

void task_table::evict(time_point now)
{
  while (!m_retained.empty())
  {
    const retained_entry& oldest = m_retained.front();
    const bool exceeds_bounds = m_retained.size() > m_options.max_retained ||
                                m_retained_bytes > m_options.max_retained_bytes;
    // The latest ended task is kept whatever its size, since its answer may not have been fetched
    // yet.
    if (oldest.until > now && (!exceeds_bounds || m_retained.size() == 1))
      return;
    m_retained_bytes -= oldest.bytes;
    m_records.erase(oldest.id);
    m_retained.pop_front();
  }
}
} // namespace yardhill::decision
