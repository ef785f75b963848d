// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Taking tasks in, and the order in which things are done. Answers, runs and recovery are in the
// files beside this one.

#include "Decision/PartitionScheduler.h"

#include <algorithm>
#include <utility>

#include "Decision/ComeBack.h"

namespace yardhill::decision
{
namespace
{
constexpr duration k_pass_period = std::chrono::milliseconds{250};
constexpr double k_interval_smoothing = 0.1;
} // namespace

partition_scheduler::partition_scheduler(partition_id partition, const scheduling_options& options,
                                         const placement_policy& policy, metrics& counts)
    : m_partition(std::move(partition)),
      m_options(options),
      m_metrics(counts),
      m_pool(options, policy),
      m_estimator(options.learn),
      m_budget(options.retry_budget),
      m_tasks(options),
      m_pass(options, policy, m_pool, m_queue, m_shares, m_estimator)
{
}

void partition_scheduler::configure(const cell_config& cell, time_point now)
{
  m_cell = cell;
  std::vector<worker_config> own;
  if (const zone_config* zone = cell.find_zone(m_partition.zone))
  {
    for (const worker_config& worker : zone->workers)
    {
      if (worker.partition == m_partition.index)
        own.push_back(worker);
    }
  }
  m_pool.configure(own);
  for (std::size_t position = 0; position < m_pool.size(); ++position)
  {
    worker_ledger& ledger = m_pool.at(position);
    ledger.set_drained(std::ranges::find(cell.drained, ledger.id()) != cell.drained.end());
  }
  m_shares.configure(cell, m_pool.capacity());
  if (m_owned)
    apply_replicas(cell, now);
  m_pass_due = true;
}

void partition_scheduler::apply_replicas(const cell_config& cell, time_point now)
{
  std::vector<task_id> surplus;
  m_tasks.for_each(
      [&](const task_record& task)
      {
        const bool lives = task.spec.kind == task_kind::service && task.phase != task_phase::ended;
        if (lives && !is_declared_replica(task.spec))
          surplus.push_back(task.spec.id);
      });
  for (const task_id& id : surplus)
    cancel(id, {}, now);
  for (const workload_config& workload : cell.workloads)
  {
    for (std::uint32_t replica = 0; replica < workload.replicas; ++replica)
      ensure_replica(workload, replica, now);
  }
}

bool partition_scheduler::is_declared_replica(const task_spec& spec) const
{
  const workload_config* workload = m_cell.find_workload(spec.workload);
  if (workload == nullptr || workload->kind != task_kind::service)
    return false;
  for (std::uint32_t replica = 0; replica < workload->replicas; ++replica)
  {
    if (replica_task_id(workload->id, replica) == spec.id)
      return true;
  }
  return false;
}

void partition_scheduler::ensure_replica(const workload_config& workload, std::uint32_t replica,
                                         time_point now)
{
  const task_id id = replica_task_id(workload.id, replica);
  const zone_config* zone = m_cell.find_zone(m_partition.zone);
  if (zone == nullptr || home_zone(id, workload, m_cell) != zone->id ||
      home_partition(id, *zone) != m_partition)
    return;
  task_spec spec = task_of(workload);
  spec.id = id;
  spec.keyed = true;
  spec.waits = false;
  if (task_record* known = m_tasks.find(id))
  {
    known->spec = spec; // a changed declaration takes effect at the replica's next start
    return;
  }
  task_record& task = m_tasks.create(spec, now);
  task.foreign = now < m_quarantine_until;
  enqueue(task, now);
}

void partition_scheduler::submit(const task_spec& spec, bool fresh, const reply_address& from,
                                 time_point now)
{
  if (task_record* known = m_tasks.find(spec.id))
  {
    join(*known, spec, from);
    return;
  }
  if (const std::optional<answer> refusal = find_refusal(spec, now))
  {
    reply(from, *refusal);
    return;
  }
  accept(spec, fresh, from, now);
}

void partition_scheduler::join(task_record& task, const task_spec& spec, const reply_address& from)
{
  if (task.spec.workload != spec.workload || task.spec.payload != spec.payload)
  {
    reply(from, refuse(spec.id, refusal_reason::key_reused_differently,
                       "the key was used for another request", "accept", duration{0}));
    return;
  }
  const bool accepted = task.phase != task_phase::storing;
  if (task.final_answer || (!spec.waits && accepted))
    reply(from, current_answer(task));
  else
    task.waiters.push_back({from, spec.waits});
}

std::optional<answer> partition_scheduler::find_refusal(const task_spec& spec,
                                                        time_point /*now*/) const
{
  if (std::optional<answer> refusal = find_shape_refusal(spec))
    return refusal;
  if (spec.durable() && spec.keyed && !m_records_complete)
    return unclear(spec.id, refusal_reason::records_incomplete,
                   "the table service has not told yet whether this key is known", "accept",
                   k_store_come_back);
  if (spec.keyed && m_right == placing_right::local_only)
    return unclear(spec.id, refusal_reason::no_owner,
                   "too few workers answer to rule out that another owner knows this key", "accept",
                   k_store_come_back);
  if (spec.durable() && m_store_down)
    return refuse(spec.id, refusal_reason::store_unavailable,
                  "the table service is down and this task must be kept in it", "accept",
                  k_store_come_back);
  return find_load_refusal(spec);
}

std::optional<answer> partition_scheduler::find_shape_refusal(const task_spec& spec) const
{
  if (const auto excess = m_pool.never_fits(spec.demand))
    return refuse(spec.id, refusal_reason::never_fits,
                  "no worker here has that many " + std::string(to_text(*excess)), "accept",
                  duration{0});
  if (spec.members > 1 && m_pool.most_members(spec.demand) < spec.members)
    return refuse(spec.id, refusal_reason::never_fits,
                  "the workers here cannot hold all members at once", "accept", duration{0});
  const team_config* team = m_cell.find_team(spec.team);
  const bool has_quota = team != nullptr && team->quota != resources{};
  if (has_quota && !scaled(spec.demand, spec.members).fits_in(team->quota))
    return refuse(spec.id, refusal_reason::quota_exceeded,
                  "the task alone is larger than its team's quota", "accept", duration{0});
  return std::nullopt;
}

std::optional<answer> partition_scheduler::find_load_refusal(const task_spec& spec) const
{
  const bool interactive = spec.kind == task_kind::interactive;
  const std::size_t ahead = interactive ? m_queue.size(task_kind::interactive) : m_queue.size();
  const std::size_t most = interactive ? m_options.most_queued_interactive : m_options.most_queued;
  const duration wait = expected_wait(ahead);
  if (ahead >= most || m_tasks.size() - m_tasks.retained() >= m_options.most_queued * 2)
    return refuse(spec.id, refusal_reason::queue_full, "too many tasks wait here", "accept",
                  std::clamp(wait, k_least_come_back, k_most_come_back));
  if (interactive && spec.deadline > duration{0} && wait > spec.deadline)
    return refuse(spec.id, refusal_reason::deadline_too_near,
                  "those who wait already take longer than the deadline allows", "accept",
                  std::clamp(wait - spec.deadline, k_least_come_back, k_most_come_back));
  return std::nullopt;
}

duration partition_scheduler::expected_wait(std::size_t ahead) const
{
  return duration{static_cast<duration::rep>(m_start_interval_us * static_cast<double>(ahead))};
}

void partition_scheduler::accept(const task_spec& spec, bool fresh, const reply_address& from,
                                 time_point now)
{
  task_record& task = m_tasks.create(spec, now);
  m_metrics.add(counter::tasks_accepted);
  m_budget.first_try();
  // A task that is kept in the table is known from there; only the others may be running unknown.
  task.foreign = !fresh && !spec.durable() && now < m_quarantine_until;
  task.waiters.push_back({from, spec.waits});
  if (task.due != k_never)
    add_timer(task.due, timer_kind::deadline, task);
  if (spec.durable())
  {
    task.phase = task_phase::storing;
    write(task, record_change::accept);
    return;
  }
  enqueue(task, now);
  if (!spec.waits)
    reply_to_waiters(task, current_answer(task));
}

void partition_scheduler::enqueue(task_record& task, time_point now)
{
  if (task.foreign && now < m_quarantine_until)
  {
    task.phase = task_phase::held;
    return;
  }
  if (task.stopping == stop_cause::cancelled || task.stopping == stop_cause::deadline)
  {
    finish(task, stopped_while_waiting(task), now);
    return;
  }
  task.foreign = false;
  task.phase = task_phase::queued;
  m_queue.insert(task);
  m_pass_due = true;
}

void partition_scheduler::leave_queue(task_record& task)
{
  if (task.phase == task_phase::queued)
    m_queue.remove(task);
}

void partition_scheduler::written(const record_write_result& result, time_point now)
{
  if (result.change == record_change::find)
  {
    found(result);
    return;
  }
  task_record* task = m_tasks.find(result.task);
  if (task == nullptr)
  {
    settle_everywhere(result.task);
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
      end_written(*task);
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
    task.phase = task_phase::queued; // as the answer says it
    reply_to_waiters(task, current_answer(task));
    enqueue(task, now);
    return;
  case record_write_status::exists:
    if (result.known)
      take_known(task, *result.known, now);
    else
      finish(task,
             unclear(task.spec.id, refusal_reason::records_incomplete,
                     "its row in the table cannot be read", "store", duration{0}),
             now);
    return;
  case record_write_status::not_written:
    finish(task,
           refuse(task.spec.id, refusal_reason::store_unavailable,
                  "the table service did not take the task", "store", k_store_come_back),
           now);
    return;
  case record_write_status::unclear:
    // The row may be there, and then the task will run once that is known.
    reply_to_waiters(task, unclear(task.spec.id, refusal_reason::store_unavailable,
                                   "the table service did not say whether it took the task",
                                   "store", k_store_come_back));
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

void partition_scheduler::end_written(task_record& task)
{
  settle_members(task);
}

// The caller's key is known from the table: the earlier request is the one that counts.
void partition_scheduler::take_known(task_record& task, const stored_task& known, time_point now)
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
  task.foreign = true;
  enqueue(task, now);
  reply_to_waiters(task, current_answer(task));
}

void partition_scheduler::write(task_record& task, record_change change)
{
  m_output.writes.push_back({change, task.to_stored()});
}

void partition_scheduler::note(const task_record& task, std::string_view step, std::string detail)
{
  m_output.notes.push_back({task.spec.id, step, std::move(detail)});
}

void partition_scheduler::add_timer(time_point at, timer_kind kind, const task_record& task)
{
  m_timers.emplace(at, timer{kind, task.spec.id, task.sequence});
}

void partition_scheduler::fire(const timer& due, time_point now)
{
  task_record* task = m_tasks.find(due.task);
  if (task == nullptr || task->sequence != due.sequence)
    return;
  switch (due.kind)
  {
  case timer_kind::deadline:
    deadline_passed(*task, now);
    return;
  case timer_kind::retry:
    if (task->phase == task_phase::delayed)
      enqueue(*task, now);
    return;
  case timer_kind::lapse:
    for (std::size_t member = 0; member < task->members.size(); ++member)
    {
      if (task->phase == task_phase::active && task->members[member].lapses <= now)
        member_vanished(*task, member, now);
    }
    return;
  }
}

void partition_scheduler::advance(time_point now)
{
  while (!m_timers.empty() && m_timers.begin()->first <= now)
  {
    const timer due = m_timers.begin()->second;
    m_timers.erase(m_timers.begin());
    fire(due, now);
  }
  if (m_owned && m_quarantine_until != time_point{} && now >= m_quarantine_until)
    end_quarantine(now);
  m_tasks.evict(now);
  const bool pass = m_pass_due || now >= m_next_pass;
  if (!pass || !m_owned || m_placing_stopped)
    return;
  m_pass_due = false;
  const pass_result result = m_pass.run(m_right, m_cell.interactive_headroom, now);
  carry_out(result, now);
  m_next_pass = m_queue.size() > 0 ? now + k_pass_period : k_never;
}

void partition_scheduler::carry_out(const pass_result& result, time_point now)
{
  for (const placement& placed : result.placements)
    begin_attempt(*placed.task, placed.workers, now);
  for (task_record* victim : result.victims)
  {
    m_metrics.add(counter::preemptions);
    stop_members(*victim, stop_cause::preempted, true);
  }
  if (result.placements.empty() || m_queue.size() == 0)
  {
    m_last_start = m_queue.size() == 0 ? time_point{} : m_last_start;
    return;
  }
  // Tasks wait, so the pace of starts is the pace at which the queue drains.
  if (m_last_start != time_point{})
  {
    const auto interval = static_cast<double>((now - m_last_start).count()) /
                          static_cast<double>(result.placements.size());
    m_start_interval_us += k_interval_smoothing * (interval - m_start_interval_us);
  }
  m_last_start = now;
}

time_point partition_scheduler::next_timer() const
{
  time_point next = m_next_pass;
  if (m_pass_due && m_owned)
    return time_point{};
  if (!m_timers.empty())
    next = std::min(next, m_timers.begin()->first);
  if (m_owned && m_quarantine_until != time_point{})
    next = std::min(next, m_quarantine_until);
  return next;
}

scheduler_output partition_scheduler::take_output()
{
  return std::exchange(m_output, {});
}

void partition_scheduler::settle_at(worker_inbox& inbox, const task_id& task)
{
  std::erase_if(inbox.unsettled, [&task](const auto& entry) { return entry.second == task; });
}

void partition_scheduler::settle_members(const task_record& task)
{
  for (const member_run& member : task.members)
  {
    const auto inbox = m_inboxes.find(member.worker);
    if (inbox != m_inboxes.end())
      settle_at(inbox->second, task.spec.id);
  }
}

// For a task whose record is gone already.
void partition_scheduler::settle_everywhere(const task_id& task)
{
  for (auto& [worker, inbox] : m_inboxes)
    settle_at(inbox, task);
}

void partition_scheduler::leave_active(const task_record& task)
{
  if (task.phase == task_phase::active || task.phase == task_phase::intending)
    --m_active;
}

std::uint64_t partition_scheduler::settled_up_to(const worker_id& worker) const
{
  const auto found = m_inboxes.find(worker);
  if (found == m_inboxes.end())
    return 0;
  const worker_inbox& inbox = found->second;
  return inbox.unsettled.empty() ? inbox.seen : inbox.unsettled.begin()->first - 1;
}
} // namespace yardhill::decision
