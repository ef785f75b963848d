// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The records of a partition's tasks, including ended tasks for as long as their retention period
// and the memory bounds allow.

#include <deque>
#include <memory>
#include <unordered_map>

#include "Common/Options.h"
#include "Decision/TaskRecord.h"

namespace yardhill::decision
{
class task_table
{
public:
  explicit task_table(const scheduling_options& options) : m_options(options) {}

  task_record* find(const task_id& id);
  task_record& create(const task_spec& spec, time_point now);
  void erase(const task_id& id);
  void clear();

  // Marks an ended task as retained: its record is kept only so that a repeated request gets the
  // same answer.
  void retain(const task_record& ended, time_point now);
  // Removes ended tasks past the retention period or beyond the bounds on count and memory, oldest
  // first.
  void evict(time_point now);

  std::size_t size() const { return m_records.size(); }
  std::size_t retained() const { return m_retained.size(); }
  std::size_t retained_bytes() const { return m_retained_bytes; }

  template<class visitor>
  void for_each(const visitor& visit)
  {
    for (auto& [id, record] : m_records)
      visit(*record);
  }

private:
  struct retained_entry
  {
    task_id id;
    time_point until;
    std::size_t bytes;
  };

  const scheduling_options& m_options;
  std::unordered_map<task_id, std::unique_ptr<task_record>> m_records;
  std::deque<retained_entry> m_retained;
  std::size_t m_retained_bytes = 0;
  std::uint64_t m_next_sequence = 1;
};
} // namespace yardhill::decision
