// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Attempts: starting them, following them at the workers, and what comes after their end.

#include <algorithm>

#include "Common/Hash.h"
#include "Decision/PartitionScheduler.h"

namespace yardhill::decision
{
namespace
{
constexpr duration k_refused_again = std::chrono::milliseconds{50};
constexpr duration k_budget_come_back = std::chrono::seconds{5};

timing waiting_of(task_kind kind)
{
  return static_cast<timing>(static_cast<std::size_t>(timing::waiting_interactive) +
                             static_cast<std::size_t>(kind));
}

// A part between 0.75 and 1.25 that differs between tasks and tries, so that retries spread out.
double jitter(const task_id& task, attempt_number attempt)
{
  constexpr std::uint64_t steps = 1000;
  const std::uint64_t step = stable_hash(task.value, attempt) % steps;
  return 0.75 + 0.5 * static_cast<double>(step) / static_cast<double>(steps);
}
} // namespace

void partition_scheduler::begin_attempt(task_record& task, const std::vector<std::size_t>& workers,
                                        time_point now)
{
  task.attempt = ++m_last_attempt;
  ++task.tries;
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
    if (ledger.placeable() && as_intended && !m_placing_stopped && m_right != placing_right::none)
      continue;
    withdraw_attempt(task);
    retry(task, retry_reason::start_refused, false, now);
    return;
  }
  task.phase = task_phase::active;
  task.started_at = now;
  m_metrics.add(counter::attempts_started);
  if (task.tries == 1)
    m_metrics.record(waiting_of(task.spec.kind), now - task.accepted_at);
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

// The attempt was granted but nothing of it was sent.
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

void partition_scheduler::confirm_running(task_record& task, std::size_t member,
                                          std::uint64_t moment, time_point /*now*/)
{
  member_run& run = task.members[member];
  run.phase = member_phase::running;
  run.started_moment = moment;
  run.lapses = k_never;
  task.may_have_run = true;
  stop_again(task, member);
}

// A stop that was lost, or that came before the start was known to have been taken.
void partition_scheduler::stop_again(const task_record& task, std::size_t member)
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
    m_pool.at(*position).circuit().probe_void();
  if (task.members.size() > 1 && task.stopping == stop_cause::none)
    stop_members(task, stop_cause::member_lost, false);
  if (task.all_members_over())
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

void partition_scheduler::member_over(task_record& task, std::size_t member,
                                      const ended_attempt& end, time_point now)
{
  member_run& run = task.members[member];
  if (run.phase == member_phase::over)
    return; // told twice
  run.phase = member_phase::over;
  run.result = end.result;
  run.body = end.body;
  run.ran = end.ran;
  task.may_have_run = true;
  release_member(task, member);
  judge_worker(task, run, now);
  if (end.result == attempt_result::done && task.spec.kind != task_kind::service)
    m_estimator.observed(task.spec.workload, end.ran);
  if (end.result != attempt_result::done && task.stopping == stop_cause::none &&
      !task.all_members_over())
    stop_members(task, stop_cause::member_lost, false);
  if (task.all_members_over())
    conclude_attempt(task, now);
}

void partition_scheduler::judge_worker(task_record& task, const member_run& member, time_point now)
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
      note(task, "circuit", "worker " + member.worker.value + " fails what it starts");
    }
    break;
  case attempt_result::stopped:
  case attempt_result::checkpointed:
  case attempt_result::lapsed:
  case attempt_result::count:
    ledger.circuit().probe_void();
    break;
  }
  ledger.refresh(now);
}

// No word will come any more: the worker rebooted, or its lease on the task has run out.
void partition_scheduler::member_vanished(task_record& task, std::size_t member, time_point now)
{
  member_run& run = task.members[member];
  if (run.phase == member_phase::over || run.phase == member_phase::idle)
    return;
  run.phase = member_phase::over;
  run.result = attempt_result::lapsed;
  run.lost = true;
  task.may_have_run = true;
  if (const std::optional<std::size_t> position = m_pool.position_of(run.worker))
    m_pool.at(*position).circuit().probe_void();
  release_member(task, member);
  if (task.stopping == stop_cause::none && !task.all_members_over())
    stop_members(task, stop_cause::member_lost, false);
  if (task.all_members_over())
    conclude_attempt(task, now);
}

void partition_scheduler::stop_members(task_record& task, stop_cause cause, bool checkpoint)
{
  task.stopping = cause;
  for (std::size_t member = 0; member < task.members.size(); ++member)
  {
    const member_run& run = task.members[member];
    // An adopted gang's member may be at a worker that has not told yet.
    const bool alive = run.phase != member_phase::over && run.phase != member_phase::idle;
    if (alive && !run.worker.empty())
      m_output.stops.push_back({run.worker, task.id_of_member(member), checkpoint});
  }
}

void partition_scheduler::conclude_attempt(task_record& task, time_point now)
{
  const auto all = [&task](auto test) { return std::ranges::all_of(task.members, test); };
  const auto any = [&task](auto test) { return std::ranges::any_of(task.members, test); };
  const bool none_ran =
      all([](const member_run& member) { return member.phase == member_phase::idle; });
  const bool all_done =
      !none_ran &&
      all([](const member_run& member)
          { return member.phase == member_phase::over && member.result == attempt_result::done; });
  const bool lost = any([](const member_run& member) { return member.lost; });
  const bool lapsed = any(
      [](const member_run& member)
      { return member.phase == member_phase::over && member.result == attempt_result::lapsed; });

  if (all_done && task.spec.kind != task_kind::service)
  {
    answer done;
    done.result = outcome::done;
    done.waited = task.started_at - task.accepted_at;
    for (const member_run& member : task.members)
    {
      done.body += member.body;
      done.ran = std::max(done.ran, member.ran);
    }
    finish(task, std::move(done), now);
    return;
  }
  if (task.stopping == stop_cause::cancelled || task.stopping == stop_cause::deadline)
  {
    const bool cancelled = task.stopping == stop_cause::cancelled;
    if (is_declared_replica(task.spec))
    {
      retry(task, retry_reason::preempted, false, now); // declared again while it was stopping
      return;
    }
    answer stopped =
        refuse(task.spec.id,
               cancelled ? refusal_reason::cancelled_by_caller : refusal_reason::deadline_passed,
               "stopped while it ran", "run", duration{0});
    stopped.result = cancelled ? outcome::cancelled : outcome::failed;
    finish(task, std::move(stopped), now);
    return;
  }
  if (none_ran)
  {
    retry(task, retry_reason::start_refused, false, now);
    return;
  }
  if (!task.spec.repeatable)
  {
    answer over = unclear(task.spec.id, refusal_reason::run_unclear,
                          "its worker was lost while it ran", "run", duration{0});
    if (!lost)
    {
      over.result = outcome::failed;
      over.reason = refusal_reason::attempts_exhausted;
      over.detail = "the one attempt that it may have failed";
    }
    over.peer = task.members.front().worker.value;
    finish(task, std::move(over), now);
    return;
  }
  if (task.stopping == stop_cause::preempted)
    retry(task, retry_reason::preempted, false, now);
  else if (lapsed)
    retry(task, retry_reason::worker_lost, false, now);
  else if (task.stopping == stop_cause::member_lost &&
           any([](const member_run& member) { return member.phase == member_phase::idle; }))
    retry(task, retry_reason::gang_member_lost, false, now);
  else
    retry(task, retry_reason::attempt_failed, true, now);
}

// Puts the task back in line. `counts` says whether the try uses up one of its attempts.
void partition_scheduler::retry(task_record& task, retry_reason why, bool counts, time_point now)
{
  const bool service = task.spec.kind == task_kind::service;
  if (counts && !service && task.failures + 1 >= task.spec.max_attempts)
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
    return;
  }
  leave_active(task);
  m_metrics.add(why);
  note(task, "retry", std::string(to_text(why)));
  settle_members(task);
  if (counts)
    ++task.failures;
  task.stopping = stop_cause::none;
  task.intent.reset();
  task.phase = task_phase::delayed;
  if (why == retry_reason::preempted)
  {
    enqueue(task, now);
    return;
  }
  duration delay = k_refused_again;
  if (why != retry_reason::start_refused)
  {
    const std::uint32_t doublings = std::min(task.failures, 8U);
    delay = std::min(m_options.retry_first * (1U << doublings), m_options.retry_most);
    if (!m_budget.take())
    {
      if (task.spec.waits && task.spec.kind == task_kind::interactive)
      {
        answer failed = refuse(task.spec.id, refusal_reason::attempts_exhausted,
                               "too many tasks are being tried again", "run", k_budget_come_back);
        failed.result = outcome::failed;
        finish(task, std::move(failed), now);
        return;
      }
      delay = m_options.retry_most;
    }
  }
  delay = duration{static_cast<duration::rep>(static_cast<double>(delay.count()) *
                                              jitter(task.spec.id, task.attempt))};
  add_timer(now + delay, timer_kind::retry, task);
}

void partition_scheduler::worker_news(const worker_id& worker, const claim_answer& news,
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

  worker_inbox& inbox = m_inboxes[worker];
  if (inbox.boot != news.boot)
    inbox = worker_inbox{news.boot, 0, {}};
  for (const ended_attempt& ended : news.ended)
  {
    if (ended.sequence <= inbox.seen)
      continue;
    inbox.seen = ended.sequence;
    inbox.unsettled[ended.sequence] = ended.id.task;
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
