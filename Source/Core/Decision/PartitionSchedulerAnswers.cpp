// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Answers to callers: status, cancellation, deadlines, and the final answer when a task ends.

#include <algorithm>
#include <utility>

#include "Decision/PartitionScheduler.h"
#include "Decision/RetryAfter.h"

namespace yardhill::decision
{
// Returns the final answer to a task that was cancelled, or whose deadline passed, in a phase in
// which it could not be stopped.
answer partition_scheduler::stopped_while_waiting(const task_record& task) const
{
  const bool cancelled = task.stopping == stop_cause::cancelled;
  answer value =
      refuse(task.spec.id,
             cancelled ? refusal_reason::cancelled_by_caller : refusal_reason::deadline_passed,
             "stopped while it waited", "place", duration{0});
  if (cancelled)
    value.result = outcome::cancelled;
  else if (task.may_have_run || task.maybe_started_by_earlier_owner)
    value.result = outcome::unknown;
  return value;
}

void partition_scheduler::cancel(const task_id& id, const reply_address& from, time_point now)
{
  task_record* task = m_tasks.find(id);
  if (task == nullptr)
  {
    reply(from, refuse(id, refusal_reason::unknown_task, "no such task is known here", "cancel",
                       duration{0}));
    return;
  }
  if (task->final_answer)
  {
    reply(from, *task->final_answer);
    return;
  }
  task->waiters.push_back({from, true});
  switch (task->phase)
  {
  case task_phase::queued:
  case task_phase::delayed:
  {
    answer cancelled = refuse(id, refusal_reason::cancelled_by_caller, "cancelled before it ran",
                              "cancel", duration{0});
    cancelled.result = outcome::cancelled;
    finish(*task, std::move(cancelled), now);
    return;
  }
  case task_phase::active:
    stop_members(*task, stop_cause::cancelled, false);
    return;
  case task_phase::storing:
  case task_phase::held:
  case task_phase::intending:
    task->stopping = stop_cause::cancelled; // takes effect when the task leaves this phase
    return;
  case task_phase::ended:
    return;
  }
}

void partition_scheduler::status(const task_id& id, const reply_address& from)
{
  const task_record* task = m_tasks.find(id);
  if (task != nullptr)
  {
    reply(from, current_answer(*task));
    return;
  }
  if (!m_records_complete)
  {
    reply(from, unclear(id, refusal_reason::records_incomplete,
                        "the table service has not told yet what is known", "status",
                        k_store_retry_after));
    return;
  }
  if (m_store_down)
  {
    reply(from, unclear(id, refusal_reason::store_unavailable,
                        "it is not in memory and the table service is down", "status",
                        k_store_retry_after));
    return;
  }
  // The task may have ended long ago: the table keeps tasks longer than this process does.
  std::vector<reply_address>& requesters = m_pending_lookups[id];
  requesters.push_back(from);
  if (requesters.size() > 1)
    return;
  record_write lookup;
  lookup.change = record_change::find;
  lookup.task.spec.id = id;
  m_output.writes.push_back(std::move(lookup));
}

answer partition_scheduler::current_answer(const task_record& task) const
{
  if (task.final_answer)
    return *task.final_answer;
  answer value;
  value.task = task.spec.id;
  value.result = outcome::accepted;
  value.detail = std::string(to_text(task.phase));
  value.durability = task.has_row ? "table" : "memory";
  value.attempts = task.attempt_count;
  return value;
}

void partition_scheduler::reply(const reply_address& to, const answer& value)
{
  if (to.peer.empty() && to.number == 0)
    return; // the scheduler itself made the request
  m_output.replies.push_back({to, value, false});
}

void partition_scheduler::reply_to_waiters(task_record& task, const answer& value)
{
  const bool final = value.is_final();
  std::vector<waiter> kept;
  for (const waiter& waiting : task.waiters)
  {
    if (final || !waiting.until_final)
      reply(waiting.to, value);
    else
      kept.push_back(waiting);
  }
  task.waiters = std::move(kept);
}

void partition_scheduler::finish(task_record& task, answer result, time_point now)
{
  remove_from_queue(task);
  decrement_active(task);
  task.phase = task_phase::ended;
  task.ended_at = now;
  result.task = task.spec.id;
  result.attempts = task.attempt_count;
  task.final_answer = std::move(result);
  const answer& final = *task.final_answer;
  m_metrics.add(final.result == outcome::done ? counter::tasks_done : counter::tasks_failed);
  log_task_event(task, "end", std::string(to_text(final.result)));
  reply_to_waiters(task, final);
  const bool retriable = final.result == outcome::refused;
  if (task.has_row)
  {
    write(task, retriable ? record_change::forget : record_change::end);
    if (!retriable)
      m_tasks.retain(task, now);
    return;
  }
  settle_members(task);
  // A refused task was not run, so a repeated request counts as a new task. Service replicas are
  // created again from the configuration.
  if (retriable || task.spec.kind == task_kind::service)
    m_tasks.erase(task_id{task.spec.id});
  else
    m_tasks.retain(task, now);
}

void partition_scheduler::deadline_passed(task_record& task, time_point now)
{
  if (task.final_answer)
    return;
  const bool may_run = task.phase == task_phase::active || task.phase == task_phase::held ||
                       task.phase == task_phase::intending || task.phase == task_phase::storing ||
                       task.may_have_run;
  if (!may_run)
  {
    finish(task,
           refuse(task.spec.id, refusal_reason::deadline_passed, "it found no place in time",
                  "place",
                  std::clamp(m_drain_rate.expected_wait(m_queue.size()), k_min_retry_after,
                             k_max_retry_after)),
           now);
    return;
  }
  reply_to_waiters(task, unclear(task.spec.id, refusal_reason::deadline_passed,
                                 "its deadline passed while it may have been running", "run",
                                 k_min_retry_after));
  if (task.phase == task_phase::active)
    stop_members(task, stop_cause::deadline, false);
  else if (task.phase == task_phase::queued || task.phase == task_phase::delayed)
    finish(task,
           unclear(task.spec.id, refusal_reason::deadline_passed,
                   "its deadline passed between two attempts", "run", duration{0}),
           now);
  else
    task.stopping = stop_cause::deadline;
}
} // namespace yardhill::decision
