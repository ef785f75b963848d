// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Attempts: starting them, tracking their members, and retrying or finishing the task afterwards.

#include <algorithm>

#include "Decision/AttemptVerdict.h"
#include "Decision/DeclaredReplicas.h"
#include "Decision/PartitionScheduler.h"
#include "Decision/RetryDelay.h"

namespace yardhill::decision
{
namespace
{
constexpr duration k_start_refused_delay = std::chrono::milliseconds{50};
constexpr duration k_budget_retry_after = std::chrono::seconds{5};

timing waiting_timing_of(task_kind kind)
{
  return static_cast<timing>(static_cast<std::size_t>(timing::waiting_interactive) +
                             static_cast<std::size_t>(kind));
}
} // namespace

void partition_scheduler::begin_attempt(task_record& task, const std::vector<std::size_t>& workers,
                                        time_point now)
{
  task.attempt = ++m_last_attempt;
  ++task.attempt_count;
  task.stopping = stop_cause::none;
  task.planned_workers = workers;
  task.members.assign(workers.size(), member_run{});
  task.started_at = now;
  ++m_active;
  if (task.spec.repeatable)
  {
    send_attempt(task, now);
    return;
  }
  task.phase = task_phase::intending;
  const worker_ledger& first = m_pool.at(workers.front());
  task.intent = stored_intent{task.attempt, first.id(), first.boot()};
  write(task, record_change::intent);
}

void partition_scheduler::send_attempt(task_record& task, time_point now)
{
  for (const std::size_t position : task.planned_workers)
  {
    const worker_ledger& ledger = m_pool.at(position);
    const bool as_intended =
        !task.intent || task.spec.members > 1 ||
        (ledger.id() == task.intent->worker && ledger.boot() == task.intent->boot);
    if (ledger.placeable() && as_intended && !m_placing_stopped &&
        m_placement_scope != placement_scope::none)
      continue;
    withdraw_attempt(task);
    retry(task, retry_reason::start_refused, false, now);
    return;
  }
  task.phase = task_phase::active;
  task.started_at = now;
  m_metrics.add(counter::attempts_started);
  if (task.attempt_count == 1)
    m_metrics.record(waiting_timing_of(task.spec.kind), now - task.accepted_at);
  const std::string spec_text = to_json_text(task.spec);
  for (std::size_t member = 0; member < task.members.size(); ++member)
  {
    const worker_ledger& ledger = m_pool.at(task.planned_workers[member]);
    member_run& run = task.members[member];
    run.phase = member_phase::starting;
    run.worker = ledger.id();
    run.boot = ledger.boot();
    run.granted = task.spec.demand;
    m_output.starts.push_back(
        {run.worker,
         {task.id_of_member(member), task.spec.demand, spec_text, task.spec.repeatable}});
  }
}

// Releases an attempt's grants. The capacity was granted, but no start request was sent.
void partition_scheduler::withdraw_attempt(task_record& task)
{
  for (std::size_t member = 0; member < task.planned_workers.size(); ++member)
  {
    m_pool.release(task.planned_workers[member], task, member);
    m_shares.ended(task.spec.team, task.spec.demand);
  }
  task.members.assign(task.members.size(), member_run{});
  m_pass_due = true;
}

member_run* partition_scheduler::member_of(const attempt_id& id, const worker_id& worker)
{
  task_record* task = m_tasks.find(id.task);
  if (task == nullptr || task->attempt != id.attempt || id.member >= task->members.size())
    return nullptr;
  member_run& member = task->members[id.member];
  return task->phase == task_phase::active && member.worker == worker ? &member : nullptr;
}

void partition_scheduler::confirm_running(task_record& task, std::size_t member,
                                          std::uint64_t change_count, time_point /*now*/)
{
  member_run& run = task.members[member];
  run.phase = member_phase::running;
  run.started_change_count = change_count;
  run.lease_end = k_never;
  task.may_have_run = true;
  resend_stop(task, member);
}

// Sends the stop request again: the earlier one was lost, or was sent before the worker was known
// to have accepted the start.
void partition_scheduler::resend_stop(const task_record& task, std::size_t member)
{
  if (task.stopping == stop_cause::none)
    return;
  const bool checkpoint = task.stopping == stop_cause::preempted;
  m_output.stops.push_back({task.members[member].worker, task.id_of_member(member), checkpoint});
}

void partition_scheduler::member_not_started(task_record& task, std::size_t member,
                                             start_refusal refusal, time_point now)
{
  member_run& run = task.members[member];
  const std::optional<std::size_t> position = m_pool.position_of(run.worker);
  release_member(task, member);
  run.phase = member_phase::idle;
  if (position && refusal == start_refusal::leaving)
    m_pool.at(*position).set_leaving();
  if (position)
    m_pool.at(*position).circuit().probe_inconclusive();
  if (task.members.size() > 1 && task.stopping == stop_cause::none)
    stop_members(task, stop_cause::member_lost, false);
  if (task.all_members_ended())
    conclude_attempt(task, now);
}

void partition_scheduler::release_member(task_record& task, std::size_t member)
{
  const std::optional<std::size_t> position = m_pool.position_of(task.members[member].worker);
  if (!position)
    return;
  m_pool.release(*position, task, member);
  m_shares.ended(task.spec.team, task.members[member].granted);
  m_pass_due = true;
}

void partition_scheduler::member_ended(task_record& task, std::size_t member,
                                       const ended_attempt& end, time_point now)
{
  member_run& run = task.members[member];
  if (run.phase == member_phase::ended)
    return; // the worker reported the end before
  run.phase = member_phase::ended;
  run.result = end.result;
  run.body = end.body;
  run.ran = end.ran;
  task.may_have_run = true;
  release_member(task, member);
  update_circuit(task, run, now);
  if (end.result == attempt_result::done && task.spec.kind != task_kind::service)
    m_estimator.observed(task.spec.workload, end.ran);
  if (end.result != attempt_result::done && task.stopping == stop_cause::none &&
      !task.all_members_ended())
    stop_members(task, stop_cause::member_lost, false);
  if (task.all_members_ended())
    conclude_attempt(task, now);
}

void partition_scheduler::update_circuit(task_record& task, const member_run& member,
                                         time_point now)
{
  const std::optional<std::size_t> position = m_pool.position_of(member.worker);
  if (!position)
    return;
  worker_ledger& ledger = m_pool.at(*position);
  switch (member.result)
  {
  case attempt_result::done:
    ledger.circuit().succeeded();
    break;
  case attempt_result::failed:
    task.failed_on = member.worker;
    if (ledger.circuit().failed(task.spec.workload, now))
    {
      m_metrics.add(counter::circuits_opened);
      log_task_event(task, "circuit",
                     "worker " + member.worker.value +
                         " fails consecutive attempts; circuit opened");
    }
    break;
  case attempt_result::stopped:
  case attempt_result::checkpointed:
  case attempt_result::lapsed:
  case attempt_result::count:
    ledger.circuit().probe_inconclusive();
    break;
  }
  ledger.refresh(now);
}

// Treats a member as lost. No report on it will come: the worker restarted, no longer has the
// attempt, or the lease on the attempt has expired.
void partition_scheduler::member_lapsed(task_record& task, std::size_t member, time_point now)
{
  member_run& run = task.members[member];
  if (run.phase == member_phase::ended || run.phase == member_phase::idle)
    return;
  run.phase = member_phase::ended;
  run.result = attempt_result::lapsed;
  run.lost = true;
  task.may_have_run = true;
  if (const std::optional<std::size_t> position = m_pool.position_of(run.worker))
    m_pool.at(*position).circuit().probe_inconclusive();
  release_member(task, member);
  if (task.stopping == stop_cause::none && !task.all_members_ended())
    stop_members(task, stop_cause::member_lost, false);
  if (task.all_members_ended())
    conclude_attempt(task, now);
}

void partition_scheduler::stop_members(task_record& task, stop_cause cause, bool checkpoint)
{
  task.stopping = cause;
  for (std::size_t member = 0; member < task.members.size(); ++member)
  {
    const member_run& run = task.members[member];
    // A member of an adopted gang may be on a worker that has not reported yet.
    const bool alive = run.phase != member_phase::ended && run.phase != member_phase::idle;
    if (alive && !run.worker.empty())
      m_output.stops.push_back({run.worker, task.id_of_member(member), checkpoint});
  }
}

void partition_scheduler::conclude_attempt(task_record& task, time_point now)
{
  const attempt_verdict verdict = judge_attempt(task);
  switch (verdict)
  {
  case attempt_verdict::done:
    finish(task, done_answer(task), now);
    return;
  case attempt_verdict::stopped:
    if (is_declared_replica(task.spec, m_cell))
      retry(task, retry_reason::preempted, false, now); // configured again while it was stopping
    else
      finish(task, stopped_answer(task), now);
    return;
  case attempt_verdict::run_unclear:
  case attempt_verdict::failed_for_good:
    finish(task, not_again_answer(task, verdict), now);
    return;
  case attempt_verdict::not_started:
    retry(task, retry_reason::start_refused, false, now);
    return;
  case attempt_verdict::preempted:
    retry(task, retry_reason::preempted, false, now);
    return;
  case attempt_verdict::worker_lost:
    retry(task, retry_reason::worker_lost, false, now);
    return;
  case attempt_verdict::gang_member_lost:
    retry(task, retry_reason::gang_member_lost, false, now);
    return;
  case attempt_verdict::failed:
    retry(task, retry_reason::attempt_failed, true, now);
    return;
  }
}

// Schedules another attempt, or ends the task if its attempts or the retry budget are used up.
// `counts_as_failure` is true if the failed attempt counts against the task's max_attempts.
void partition_scheduler::retry(task_record& task, retry_reason reason, bool counts_as_failure,
                                time_point now)
{
  const bool service = task.spec.kind == task_kind::service;
  if (counts_as_failure && !service && task.failures + 1 >= task.spec.max_attempts)
  {
    fail_for_good(task, now);
    return;
  }
  decrement_active(task);
  m_metrics.add(reason);
  log_task_event(task, "retry", std::string(to_text(reason)));
  settle_members(task);
  if (counts_as_failure)
    ++task.failures;
  task.stopping = stop_cause::none;
  task.intent.reset();
  task.phase = task_phase::delayed;
  if (reason == retry_reason::preempted)
    enqueue(task, now);
  else if (const std::optional<duration> delay = retry_delay(task, reason))
    add_timer(now + with_jitter(*delay, task.spec.id, task.attempt), timer_kind::retry, task);
  else
    fail_without_retry(task, now);
}

// Returns nullopt if the retry budget is used up and a caller waits for the result of an
// interactive task.
std::optional<duration> partition_scheduler::retry_delay(const task_record& task,
                                                         retry_reason reason)
{
  if (reason == retry_reason::start_refused)
    return k_start_refused_delay;
  if (m_budget.try_spend())
    return backoff_after(task.failures, m_options);
  if (task.spec.waits && task.spec.kind == task_kind::interactive)
    return std::nullopt;
  return m_options.retry_most;
}

void partition_scheduler::fail_without_retry(task_record& task, time_point now)
{
  answer failed = refuse(task.spec.id, refusal_reason::attempts_exhausted,
                         "too many tasks are being tried again", "run", k_budget_retry_after);
  failed.result = outcome::failed;
  finish(task, std::move(failed), now);
}

void partition_scheduler::fail_for_good(task_record& task, time_point now)
{
  answer failed = refuse(task.spec.id, refusal_reason::attempts_exhausted, "every attempt failed",
                         "run", duration{0});
  failed.result = outcome::failed;
  if (!task.members.empty())
  {
    failed.body = task.members.front().body;
    failed.peer = task.members.front().worker.value;
  }
  finish(task, std::move(failed), now);
}
} // namespace yardhill::decision
