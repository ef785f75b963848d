// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Acceptance of tasks, timers and placement passes. Answers to callers, stored records, attempts,
// worker reports and recovery are in the other PartitionScheduler*.cpp files.

#include "Decision/PartitionScheduler.h"

#include <algorithm>
#include <utility>

#include "Decision/DeclaredReplicas.h"
#include "Decision/RetryAfter.h"

namespace yardhill::decision
{
namespace
{
constexpr duration k_pass_period = std::chrono::milliseconds{250};
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
    apply_replicas(now);
  m_pass_due = true;
}

void partition_scheduler::apply_replicas(time_point now)
{
  std::vector<task_id> surplus;
  m_tasks.for_each(
      [&](const task_record& task)
      {
        const bool lives = task.spec.kind == task_kind::service && task.phase != task_phase::ended;
        if (lives && !is_declared_replica(task.spec, m_cell))
          surplus.push_back(task.spec.id);
      });
  for (const task_id& id : surplus)
    cancel(id, {}, now);
  for (const task_spec& replica : replicas_homed_at(m_partition, m_cell))
    ensure_replica(replica, now);
}

void partition_scheduler::ensure_replica(const task_spec& spec, time_point now)
{
  if (task_record* known = m_tasks.find(spec.id))
  {
    known->spec = spec; // a changed configuration takes effect at the replica's next start
    return;
  }
  task_record& task = m_tasks.create(spec, now);
  task.maybe_started_by_earlier_owner = now < m_quarantine_until;
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
  if (std::optional<answer> refusal = find_demand_refusal(spec))
    return refusal;
  if (spec.durable() && spec.keyed && !m_records_complete)
    return unclear(spec.id, refusal_reason::records_incomplete,
                   "the table service has not told yet whether this key is known", "accept",
                   k_store_retry_after);
  if (spec.keyed && m_placement_scope == placement_scope::local_only)
    return unclear(spec.id, refusal_reason::no_owner,
                   "too few workers answer to rule out that another owner knows this key", "accept",
                   k_store_retry_after);
  if (spec.durable() && m_store_down)
    return refuse(spec.id, refusal_reason::store_unavailable,
                  "the table service is down and this task must be kept in it", "accept",
                  k_store_retry_after);
  return find_load_refusal(spec);
}

std::optional<answer> partition_scheduler::find_demand_refusal(const task_spec& spec) const
{
  if (const auto excess = m_pool.never_fits(spec.demand))
    return refuse(spec.id, refusal_reason::never_fits,
                  "no worker here has that many " + std::string(to_text(*excess)), "accept",
                  duration{0});
  if (spec.members > 1 && m_pool.max_members(spec.demand) < spec.members)
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
  const std::size_t most = interactive ? m_options.max_queued_interactive : m_options.max_queued;
  const duration wait = m_drain_rate.expected_wait(ahead);
  if (ahead >= most || m_tasks.size() - m_tasks.retained() >= m_options.max_queued * 2)
    return refuse(spec.id, refusal_reason::queue_full, "too many tasks wait here", "accept",
                  std::clamp(wait, k_min_retry_after, k_max_retry_after));
  if (interactive && spec.deadline > duration{0} && wait > spec.deadline)
    return refuse(spec.id, refusal_reason::deadline_too_near,
                  "those who wait already take longer than the deadline allows", "accept",
                  std::clamp(wait - spec.deadline, k_min_retry_after, k_max_retry_after));
  return std::nullopt;
}

void partition_scheduler::accept(const task_spec& spec, bool fresh, const reply_address& from,
                                 time_point now)
{
  task_record& task = m_tasks.create(spec, now);
  m_metrics.add(counter::tasks_accepted);
  m_budget.add_first_attempt();
  // A durable task that an earlier owner accepted has a row in the table. Only a task without a row
  // may be running on a worker without this owner knowing of it.
  task.maybe_started_by_earlier_owner = !fresh && !spec.durable() && now < m_quarantine_until;
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
  if (task.maybe_started_by_earlier_owner && now < m_quarantine_until)
  {
    task.phase = task_phase::held;
    return;
  }
  if (task.stopping == stop_cause::cancelled || task.stopping == stop_cause::deadline)
  {
    finish(task, stopped_while_waiting(task), now);
    return;
  }
  task.maybe_started_by_earlier_owner = false;
  task.phase = task_phase::queued;
  m_queue.insert(task);
  m_pass_due = true;
}

void partition_scheduler::remove_from_queue(task_record& task)
{
  if (task.phase == task_phase::queued)
    m_queue.remove(task);
}

void partition_scheduler::log_task_event(const task_record& task, std::string_view step,
                                         std::string detail)
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
      if (task->phase == task_phase::active && task->members[member].lease_end <= now)
        member_lapsed(*task, member, now);
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
  const pass_result result = m_pass.run(m_placement_scope, m_cell.interactive_headroom, now);
  apply_pass_result(result, now);
  m_next_pass = m_queue.size() > 0 ? now + k_pass_period : k_never;
}

void partition_scheduler::apply_pass_result(const pass_result& result, time_point now)
{
  for (const placement& placed : result.placements)
    begin_attempt(*placed.task, placed.workers, now);
  for (task_record* victim : result.victims)
  {
    m_metrics.add(counter::preemptions);
    stop_members(*victim, stop_cause::preempted, true);
  }
  m_drain_rate.record_pass(result.placements.size(), m_queue.size(), now);
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

void partition_scheduler::settle_members(const task_record& task)
{
  for (const member_run& member : task.members)
    m_inboxes.settle(member.worker, task.spec.id);
}

void partition_scheduler::decrement_active(const task_record& task)
{
  if (task.phase == task_phase::active || task.phase == task_phase::intending)
    --m_active;
}
} // namespace yardhill::decision
