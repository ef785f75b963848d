// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Task records in the table service: writes, and the handling of their results.

#include <utility>

#include "Decision/PartitionScheduler.h"
#include "Decision/RetryAfter.h"

namespace yardhill::decision
{
void partition_scheduler::written(const record_write_result& result, time_point now)
{
  if (result.change == record_change::find)
  {
    lookup_answered(result);
    return;
  }
  task_record* task = m_tasks.find(result.task);
  if (task == nullptr)
  {
    m_inboxes.settle_everywhere(result.task);
    return;
  }
  switch (result.change)
  {
  case record_change::accept:
    if (task->phase == task_phase::storing)
      accept_written(*task, result, now);
    return;
  case record_change::intent:
    if (task->phase == task_phase::intending)
      intent_written(*task, result.status, now);
    return;
  case record_change::end:
    if (result.status == record_write_status::written)
      settle_members(*task);
    return;
  case record_change::forget:
    if (result.status == record_write_status::written)
      m_tasks.erase(result.task);
    return;
  case record_change::find:
  case record_change::count:
    return;
  }
}

void partition_scheduler::accept_written(task_record& task, const record_write_result& result,
                                         time_point now)
{
  switch (result.status)
  {
  case record_write_status::written:
    task.has_row = true;
    task.phase = task_phase::queued; // so that the answer to the waiters reports "queued"
    reply_to_waiters(task, current_answer(task));
    enqueue(task, now);
    return;
  case record_write_status::exists:
    if (result.known)
      adopt_stored_task(task, *result.known, now);
    else
      finish(task,
             unclear(task.spec.id, refusal_reason::records_incomplete,
                     "its row in the table cannot be read", "store", duration{0}),
             now);
    return;
  case record_write_status::not_written:
    finish(task,
           refuse(task.spec.id, refusal_reason::store_unavailable,
                  "the table service did not take the task", "store", k_store_retry_after),
           now);
    return;
  case record_write_status::unclear:
    // The row may have been written. In that case the task runs once the row is known.
    reply_to_waiters(task, unclear(task.spec.id, refusal_reason::store_unavailable,
                                   "the table service did not say whether it took the task",
                                   "store", k_store_retry_after));
    task.waiters.clear();
    return;
  }
}

void partition_scheduler::intent_written(task_record& task, record_write_status status,
                                         time_point now)
{
  if (status == record_write_status::unclear)
    return;
  if (status == record_write_status::written && task.stopping == stop_cause::none)
  {
    send_attempt(task, now);
    return;
  }
  withdraw_attempt(task);
  if (task.stopping == stop_cause::none)
    retry(task, retry_reason::store_unavailable, false, now);
  else
    conclude_attempt(task, now);
}

// The table already has a task with the caller's key: the earlier request takes precedence.
void partition_scheduler::adopt_stored_task(task_record& task, const stored_task& known,
                                            time_point now)
{
  task.has_row = true;
  if (known.spec.workload != task.spec.workload || known.spec.payload != task.spec.payload)
  {
    reply_to_waiters(task, refuse(task.spec.id, refusal_reason::key_reused_differently,
                                  "the key was used for another request", "accept", duration{0}));
    task.waiters.clear();
  }
  task.spec = known.spec;
  task.intent = known.intent;
  if (known.final_answer)
  {
    task.has_row = false; // nothing is left to write
    finish(task, *known.final_answer, now);
    return;
  }
  task.maybe_started_by_earlier_owner = true;
  enqueue(task, now);
  reply_to_waiters(task, current_answer(task));
}

void partition_scheduler::write(task_record& task, record_change change)
{
  m_output.writes.push_back({change, task.to_stored()});
}

void partition_scheduler::lookup_answered(const record_write_result& result)
{
  const auto requesters = m_pending_lookups.find(result.task);
  if (requesters == m_pending_lookups.end())
    return;
  answer value = refuse(result.task, refusal_reason::unknown_task, "no such task is known here",
                        "status", duration{0});
  if (result.status == record_write_status::unclear)
    value = unclear(result.task, refusal_reason::store_unavailable,
                    "it is not in memory and the table service did not answer", "status",
                    k_store_retry_after);
  else if (result.known && result.known->final_answer)
    value = *result.known->final_answer;
  else if (result.known)
    value = unclear(result.task, refusal_reason::records_incomplete,
                    "its record is being taken over", "status", k_store_retry_after);
  for (const reply_address& to : requesters->second)
    reply(to, value);
  m_pending_lookups.erase(requesters);
}
} // namespace yardhill::decision
