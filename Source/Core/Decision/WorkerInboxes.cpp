// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Decision/WorkerInboxes.h"

namespace yardhill::decision
{
void worker_inboxes::set_boot(const worker_id& worker, const std::string& boot)
{
  inbox& box = m_inboxes[worker];
  if (box.boot != boot)
    box = inbox{boot, 0, {}};
}

bool worker_inboxes::record_ended(const worker_id& worker, const ended_attempt& ended)
{
  inbox& box = m_inboxes[worker];
  if (ended.sequence <= box.last_sequence)
    return false;
  box.last_sequence = ended.sequence;
  box.unsettled[ended.sequence] = ended.id.task;
  return true;
}

void worker_inboxes::settle(const worker_id& worker, const task_id& task)
{
  const auto found = m_inboxes.find(worker);
  if (found != m_inboxes.end())
    settle_in(found->second, task);
}

void worker_inboxes::settle_everywhere(const task_id& task)
{
  for (auto& [worker, box] : m_inboxes)
    settle_in(box, task);
}

void worker_inboxes::settle_in(inbox& box, const task_id& task)
{
  std::erase_if(box.unsettled, [&task](const auto& entry) { return entry.second == task; });
}

std::uint64_t worker_inboxes::settled_up_to(const worker_id& worker) const
{
  const auto found = m_inboxes.find(worker);
  if (found == m_inboxes.end())
    return 0;
  const inbox& box = found->second;
  return box.unsettled.empty() ? box.last_sequence : box.unsettled.begin()->first - 1;
}
} // namespace yardhill::decision
