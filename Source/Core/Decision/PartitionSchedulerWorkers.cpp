// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Reports from workers: answers to start requests, running and ended attempts, and workers that do
// not answer.

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
      continue; // the transport sent the request twice; the worker's next report has the outcome
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

void partition_scheduler::worker_reported(const worker_id& worker, const claim_answer& report,
                                          bool tickets_voided, time_point now)
{
  const std::optional<std::size_t> position = m_pool.position_of(worker);
  if (!position || !m_owned)
    return;
  worker_ledger& ledger = m_pool.at(*position);
  const bool was_placeable = ledger.placeable();
  ledger.set_usable(true, report.leaving, report.boot);
  ledger.set_measured(report.used);
  m_pass_due = m_pass_due || ledger.placeable() != was_placeable;

  m_inboxes.set_boot(worker, report.boot);
  for (const ended_attempt& ended : report.ended)
  {
    if (m_inboxes.record_ended(worker, ended))
      adopt_ended(worker, ended, now);
  }
  for (const running_attempt& running : report.running)
    adopt_running(worker, running, report, now);
  check_unreported_members(worker, report, tickets_voided, now);
}

// Checks the members placed on the worker against its report, to detect those that it does not
// name.
void partition_scheduler::check_unreported_members(const worker_id& worker,
                                                   const claim_answer& report, bool tickets_voided,
                                                   time_point now)
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
    const bool restarted = run.boot != report.boot;
    const bool forgotten =
        run.phase == member_phase::running && report.moment >= run.started_change_count;
    if (std::ranges::find(report.running, id, &running_attempt::id) != report.running.end())
      run.lease_end = k_never;
    else if (restarted || forgotten)
      member_lapsed(task, entry.member, now);
    else if (run.phase == member_phase::unclear && tickets_voided)
      member_not_started(task, entry.member, start_refusal::old_ticket, now);
  }
}

void partition_scheduler::worker_lost(const worker_id& worker, time_point lease_end, time_point now)
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
    task.members[entry.member].lease_end = std::max(lease_end, now);
    add_timer(std::max(lease_end, now), timer_kind::lapse, task);
  }
}
} // namespace yardhill::decision
