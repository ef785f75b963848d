// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The tasks that wait for placement, by kind and team.

#include <array>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>

#include "Common/Ids.h"
#include "Decision/TaskRecord.h"

namespace yardhill::decision
{
// Within a team, tasks are ordered by arrival time, where each priority level counts as an arrival
// earlier by `ageing_step`. So a task that waits long enough overtakes any fixed priority.
class waiting_queue
{
public:
  // Key and order of acceptance; lowest first.
  using team_queue = std::map<std::pair<std::int64_t, std::uint64_t>, task_record*>;
  using team_queues = std::map<team_id, team_queue>;

  void insert(task_record& task);
  void remove(const task_record& task);
  void clear();

  team_queues& of_kind(task_kind kind) { return m_kinds.at(static_cast<std::size_t>(kind)); }
  std::size_t size(task_kind kind) const { return m_sizes.at(static_cast<std::size_t>(kind)); }
  std::size_t size() const;

private:
  std::array<team_queues, static_cast<std::size_t>(task_kind::count)> m_kinds;
  std::array<std::size_t, static_cast<std::size_t>(task_kind::count)> m_sizes{};
};
} // namespace yardhill::decision
