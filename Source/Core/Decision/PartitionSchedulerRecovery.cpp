// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Start and end of ownership of a partition, and recovery of its tasks from the workers' reports
// and from the table.

#include <algorithm>

#include "Common/Error.h"
#include "Decision/DeclaredReplicas.h"
#include "Decision/PartitionScheduler.h"

namespace yardhill::decision
{
namespace
{
// Returns nullopt if the worker left the specification out or if it cannot be parsed.
std::optional<task_spec> read_spec(const std::string& text, const attempt_id& id)
{
  if (text.empty())
    return std::nullopt;
  return parsed_or_none("adopt", to_text(id), [&text] { return task_spec_from(text); });
}
} // namespace

void partition_scheduler::begin_term(term_number term, time_point quarantine_until, time_point now)
{
  constexpr unsigned half_bits = 32;
  m_last_attempt = term << half_bits;
  m_owned = true;
  m_records_complete = false;
  m_placing_stopped = false;
  m_quarantine_until = quarantine_until;
  apply_replicas(now);
}

void partition_scheduler::end_term()
{
  m_tasks.for_each(
      [this](task_record& task)
      {
        for (const waiter& waiting : task.waiters)
        {
          if (!waiting.to.peer.empty() || waiting.to.number != 0)
          {
            answer nothing;
            nothing.task = task.spec.id;
            m_output.replies.push_back({waiting.to, nothing, true});
          }
        }
        for (std::size_t member = 0; member < task.members.size(); ++member)
        {
          if (const auto position = m_pool.position_of(task.members[member].worker))
            m_shares.ended(task.spec.team, task.members[member].granted);
        }
      });
  for (const auto& [id, requesters] : m_pending_lookups)
  {
    for (const reply_address& to : requesters)
    {
      answer nothing;
      nothing.task = id;
      m_output.replies.push_back({to, nothing, true});
    }
  }
  m_pending_lookups.clear();
  m_owned = false;
  m_records_complete = false;
  m_placement_scope = placement_scope::none;
  m_active = 0;
  m_queue.clear();
  m_pool.clear_grants();
  m_tasks.clear();
  m_timers.clear();
  m_inboxes.clear();
  m_shares = team_shares{};
  m_shares.configure(m_cell, m_pool.capacity());
  // Pending starts, stops and writes must not be sent after the end of ownership. Pending replies
  // are still correct.
  m_output.starts.clear();
  m_output.stops.clear();
  m_output.writes.clear();
}

void partition_scheduler::end_quarantine(time_point now)
{
  m_quarantine_until = time_point{};
  release_held(now);
}

void partition_scheduler::release_held(time_point now)
{
  std::vector<task_record*> held;
  m_tasks.for_each(
      [&held](task_record& task)
      {
        if (task.phase == task_phase::held)
          held.push_back(&task);
      });
  // The task table is unordered; sort by order of acceptance.
  std::ranges::sort(held, {}, &task_record::sequence);
  for (task_record* task : held)
  {
    if (task->intent)
      resolve_intent(*task, now);
    else
      enqueue(*task, now);
  }
}

void partition_scheduler::records_loaded(const std::vector<stored_task>& tasks, time_point now)
{
  m_records_complete = true;
  for (const stored_task& stored : tasks)
  {
    if (task_record* known = m_tasks.find(stored.spec.id))
    {
      known->has_row = true; // adopted from a worker before the table answered
      continue;
    }
    task_record& task = m_tasks.create(stored.spec, now);
    task.has_row = true;
    task.intent = stored.intent;
    task.attempt = stored.intent ? stored.intent->attempt : 0;
    if (task.due != k_never)
      add_timer(task.due, timer_kind::deadline, task);
    task.maybe_started_by_earlier_owner = stored.spec.repeatable || stored.intent.has_value();
    if (task.intent)
    {
      task.phase = task_phase::held;
      resolve_intent(task, now);
    }
    else
    {
      enqueue(task, now);
    }
  }
}

// Decides about a task that may run only once and for which an earlier owner wrote an intent. Only
// the worker named in the intent can tell whether the task was started.
void partition_scheduler::resolve_intent(task_record& task, time_point now)
{
  if (task.phase != task_phase::held || !task.intent)
    return;
  const std::optional<std::size_t> position = m_pool.position_of(task.intent->worker);
  const bool worker_usable = position && m_pool.at(*position).usable();
  if (worker_usable && m_pool.at(*position).boot() == task.intent->boot && task.spec.members == 1)
  {
    // The claim for this term voided the earlier owner's tickets, and the worker reports the
    // attempt neither as running nor among its ended, unacknowledged attempts. So the attempt was
    // never started and never will be.
    task.intent.reset();
    task.maybe_started_by_earlier_owner = false;
    enqueue(task, now);
    return;
  }
  if (!worker_usable && now < m_quarantine_until)
    return;
  finish(task,
         unclear(task.spec.id, refusal_reason::run_unclear,
                 "an earlier owner may have started it on a worker that cannot tell", "recover",
                 duration{0}),
         now);
}

task_record* partition_scheduler::adopt_task(const attempt_id& id, const std::string& spec_text,
                                             time_point now)
{
  task_record* task = m_tasks.find(id.task);
  if (task != nullptr)
  {
    const bool waiting = task->phase == task_phase::held || task->phase == task_phase::queued ||
                         task->phase == task_phase::delayed;
    const bool same_attempt = task->phase == task_phase::active && task->attempt == id.attempt;
    if (same_attempt)
      return task;
    if (!waiting || task->attempt > id.attempt ||
        (!task->maybe_started_by_earlier_owner && task->attempt > 0))
      return nullptr;
    remove_from_queue(*task);
  }
  else
  {
    const std::optional<task_spec> read = read_spec(spec_text, id);
    if (!read)
      return nullptr;
    const task_spec& spec = *read;
    if (spec.kind == task_kind::service && !is_declared_replica(spec, m_cell))
      return nullptr;
    task = &m_tasks.create(spec, now);
    task->has_row = task->spec.durable(); // a durable task's row is written before its first start
    if (task->due != k_never)
      add_timer(task->due, timer_kind::deadline, *task);
  }
  task->phase = task_phase::active;
  task->attempt = id.attempt;
  task->may_have_run = true;
  task->intent.reset();
  task->started_at = now;
  task->members.assign(task->spec.members, member_run{});
  // Members that no worker reports before the quarantine ends are treated as lost.
  for (member_run& member : task->members)
  {
    member.phase = member_phase::unclear;
    member.lease_end = std::max(now, m_quarantine_until);
  }
  add_timer(std::max(now, m_quarantine_until), timer_kind::lapse, *task);
  ++m_active;
  return task;
}

void partition_scheduler::adopt_running(const worker_id& worker, const running_attempt& running,
                                        const claim_answer& report, time_point now)
{
  if (member_run* member = member_of(running.id, worker))
  {
    if (member->phase == member_phase::starting || member->phase == member_phase::unclear)
      confirm_running(*m_tasks.find(running.id.task), running.id.member, report.moment, now);
    else
      resend_stop(*m_tasks.find(running.id.task), running.id.member);
    return;
  }
  task_record* task = adopt_task(running.id, running.spec, now);
  const bool taken = task != nullptr && running.id.member < task->members.size() &&
                     task->members[running.id.member].worker.empty();
  if (!taken)
  {
    m_output.stops.push_back({worker, running.id, false});
    return;
  }
  member_run& member = task->members[running.id.member];
  member.worker = worker;
  member.boot = report.boot;
  member.granted = task->spec.demand;
  m_pool.grant(*m_pool.position_of(worker), *task, running.id.member);
  m_shares.started(task->spec.team, member.granted);
  confirm_running(*task, running.id.member, report.moment, now);
}

void partition_scheduler::adopt_ended(const worker_id& worker, const ended_attempt& ended,
                                      time_point now)
{
  if (member_of(ended.id, worker) != nullptr)
  {
    member_ended(*m_tasks.find(ended.id.task), ended.id.member, ended, now);
    return;
  }
  task_record* known = m_tasks.find(ended.id.task);
  const bool was_unclear = known != nullptr && known->final_answer &&
                           known->final_answer->result == outcome::unknown &&
                           known->attempt == ended.id.attempt && known->spec.members == 1;
  if (was_unclear && ended.result == attempt_result::done)
  {
    // The worker answers again and reports that the attempt was done, so the unknown outcome is
    // corrected.
    known->final_answer->result = outcome::done;
    known->final_answer->reason = refusal_reason::none;
    known->final_answer->body = ended.body;
    known->final_answer->ran = ended.ran;
    if (known->has_row)
    {
      write(*known, record_change::end);
      return;
    }
  }
  task_record* task =
      known != nullptr && known->final_answer ? nullptr : adopt_task(ended.id, ended.spec, now);
  const bool taken = task != nullptr && ended.id.member < task->members.size() &&
                     task->members[ended.id.member].worker.empty();
  if (!taken)
  {
    // The task has already ended in another way, the attempt is no longer current, or the task
    // cannot be recovered from the report.
    m_inboxes.settle(worker, ended.id.task);
    return;
  }
  member_run& member = task->members[ended.id.member];
  member.worker = worker;
  member_ended(*task, ended.id.member, ended, now);
}
} // namespace yardhill::decision
