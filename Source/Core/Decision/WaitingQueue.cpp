// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Decision/WaitingQueue.h"

#include <numeric>

namespace yardhill::decision
{
void waiting_queue::insert(task_record& task)
{
  team_queue& queue = of_kind(task.spec.kind)[task.spec.team];
  queue.emplace(std::pair{task.queue_key, task.sequence}, &task);
  ++m_sizes.at(static_cast<std::size_t>(task.spec.kind));
}

void waiting_queue::remove(const task_record& task)
{
  team_queues& queues = of_kind(task.spec.kind);
  const auto found = queues.find(task.spec.team);
  if (found == queues.end())
    return;
  m_sizes.at(static_cast<std::size_t>(task.spec.kind)) -=
      found->second.erase({task.queue_key, task.sequence});
  if (found->second.empty())
    queues.erase(found);
}

void waiting_queue::clear()
{
  for (team_queues& queues : m_kinds)
    queues.clear();
  m_sizes.fill(0);
}

std::size_t waiting_queue::size() const
{
  return std::accumulate(m_sizes.begin(), m_sizes.end(), std::size_t{0});
}
} // namespace yardhill::decision
