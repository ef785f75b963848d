// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// What workers tell: answers to starts, news of what runs and what ended, and silence.

#include <algorithm>

#include "Decision/PartitionScheduler.h"

namespace yardhill::decision
{
void partition_scheduler::start_answered(const worker_id& worker, const start_answer& results,
                                         time_point now)
{
  for (const start_result& result : results.results)
  {
    const member_run* member = member_of(result.id, worker);
    const bool current = member != nullptr && (member->phase == member_phase::starting ||
                                               member->phase == member_phase::unclear);
    if (!current)
    {
      if (member == nullptr && result.refusal == start_refusal::none)
        m_output.stops.push_back({worker, result.id, false});
      continue;
    }
    task_record& task = *m_tasks.find(result.id.task);
    if (result.refusal == start_refusal::already_ran)
      continue; // sent twice below us; the worker's next news tell how it went
    if (result.refusal == start_refusal::none)
      confirm_running(task, result.id.member, results.moment, now);
    else
      member_not_started(task, result.id.member, result.refusal, now);
  }
}

void partition_scheduler::start_unclear(const worker_id& worker,
                                        const std::vector<attempt_id>& attempts)
{
  for (const attempt_id& id : attempts)
  {
    member_run* member = member_of(id, worker);
    if (member == nullptr || member->phase != member_phase::starting)
      continue;
    member->phase = member_phase::unclear;
    m_metrics.add(retry_reason::start_unclear);
  }
}

void partition_scheduler::start_unsent(const worker_id& worker,
                                       const std::vector<attempt_id>& attempts, time_point now)
{
  for (const attempt_id& id : attempts)
  {
    const member_run* member = member_of(id, worker);
    if (member != nullptr && member->phase == member_phase::starting)
      member_not_started(*m_tasks.find(id.task), id.member, start_refusal::old_ticket, now);
  }
}

void partition_scheduler::worker_reported(const worker_id& worker, const claim_answer& news,
                                          bool voided, time_point now)
{
  const std::optional<std::size_t> position = m_pool.position_of(worker);
  if (!position || !m_owned)
    return;
  worker_ledger& ledger = m_pool.at(*position);
  const bool was_placeable = ledger.placeable();
  ledger.set_usable(true, news.leaving, news.boot);
  ledger.set_measured(news.used);
  m_pass_due = m_pass_due || ledger.placeable() != was_placeable;

  m_inboxes.set_boot(worker, news.boot);
  for (const ended_attempt& ended : news.ended)
  {
    if (m_inboxes.take(worker, ended))
      adopt_ended(worker, ended, now);
  }
  for (const running_attempt& running : news.running)
    adopt_running(worker, running, news, now);
  check_silent_members(worker, news, voided, now);
}

// Members believed to be on the worker that its news do not name.
void partition_scheduler::check_silent_members(const worker_id& worker, const claim_answer& news,
                                               bool voided, time_point now)
{
  const std::size_t position = *m_pool.position_of(worker);
  const std::vector<placed_member> placed = m_pool.placed_on(position);
  for (const placed_member& entry : placed)
  {
    task_record& task = *entry.task;
    if (task.phase != task_phase::active || entry.member >= task.members.size())
      continue;
    member_run& run = task.members[entry.member];
    const attempt_id id = task.id_of_member(entry.member);
    const bool rebooted = run.boot != news.boot;
    const bool forgotten = run.phase == member_phase::running && news.moment >= run.started_moment;
    if (std::ranges::find(news.running, id, &running_attempt::id) != news.running.end())
      run.lapses = k_never;
    else if (rebooted || forgotten)
      member_vanished(task, entry.member, now);
    else if (run.phase == member_phase::unclear && voided)
      member_not_started(task, entry.member, start_refusal::old_ticket, now);
  }
}

void partition_scheduler::worker_lost(const worker_id& worker, time_point lapses, time_point now)
{
  const std::optional<std::size_t> position = m_pool.position_of(worker);
  if (!position)
    return;
  worker_ledger& ledger = m_pool.at(*position);
  ledger.set_usable(false, ledger.leaving(), ledger.boot());
  for (const placed_member& entry : m_pool.placed_on(*position))
  {
    task_record& task = *entry.task;
    if (task.phase != task_phase::active || entry.member >= task.members.size())
      continue;
    task.members[entry.member].lapses = std::max(lapses, now);
    add_timer(std::max(lapses, now), timer_kind::lapse, task);
  }
}
} // namespace yardhill::decision
