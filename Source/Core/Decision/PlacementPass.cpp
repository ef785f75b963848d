// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Decision/PlacementPass.h"

#include <algorithm>

namespace yardhill::decision
{
namespace
{
constexpr duration k_preemption_interval = std::chrono::seconds{2};

bool is_urgent(const task_record& task)
{
  return task.spec.priority >= k_urgent_priority;
}
} // namespace

placement_pass::placement_pass(const scheduling_options& options, const placement_policy& policy,
                               worker_pool& pool, waiting_queue& queue, team_shares& shares,
                               const run_estimator& estimator)
    : m_options(options),
      m_policy(policy),
      m_pool(pool),
      m_queue(queue),
      m_shares(shares),
      m_estimator(estimator)
{
}

pass_result placement_pass::run(placement_scope scope, double headroom, time_point now)
{
  pass_result result;
  if (scope == placement_scope::none || m_queue.size() == 0)
    return result;
  m_placement_scope = scope;
  m_now = now;
  m_pool.refresh_circuits(now);
  m_free_capacity_left = m_pool.total_free_capacity();
  m_headroom = m_options.keep_headroom ? scaled(m_pool.live_capacity(), headroom) : resources{};
  m_headroom.accelerators = 0;
  m_unplaceable_demands.clear();
  m_unplaced_scanned = 0;
  m_gang_reservation_start = k_never;
  if (m_policy.first_in_first_out)
  {
    place_in_order(result);
    return result;
  }
  for (const task_kind kind :
       {task_kind::interactive, task_kind::service, task_kind::gang, task_kind::batch})
    place_kind(kind, result);
  return result;
}

void placement_pass::place_kind(task_kind kind, pass_result& result)
{
  std::vector<cursor> cursors;
  for (auto& [team, team_queue] : m_queue.of_kind(kind))
    cursors.push_back({&team_queue, team_queue.begin()});
  m_unplaced_scanned = 0;
  while (m_unplaced_scanned < m_options.max_scanned)
  {
    cursor* chosen = next_cursor(cursors);
    if (chosen == nullptr)
      return;
    task_record& task = *chosen->next->second;
    if (try_place(task, result))
    {
      // Removing a team's last task destroys the team's queue, so advance the cursor first.
      const bool last = chosen->team_queue->size() == 1;
      ++chosen->next;
      if (last)
        chosen->team_queue = nullptr;
      m_queue.remove(task);
      continue;
    }
    ++m_unplaced_scanned;
    handle_unplaced(task, result);
    ++chosen->next;
  }
}

placement_pass::cursor* placement_pass::next_cursor(std::vector<cursor>& cursors) const
{
  cursor* best = nullptr;
  for (cursor& candidate : cursors)
  {
    if (candidate.team_queue == nullptr || candidate.next == candidate.team_queue->end())
      continue;
    if (best == nullptr || before(*candidate.next->second, *best->next->second))
      best = &candidate;
  }
  return best;
}

bool placement_pass::before(const task_record& left, const task_record& right) const
{
  if (is_urgent(left) != is_urgent(right))
    return is_urgent(left);
  const double left_ratio = m_shares.ratio(left.spec.team);
  const double right_ratio = m_shares.ratio(right.spec.team);
  if (left_ratio != right_ratio)
    return left_ratio < right_ratio;
  return left.sequence < right.sequence;
}

// Order of the baseline policies: strictly by arrival; the first task that does not fit blocks all
// tasks behind it.
void placement_pass::place_in_order(pass_result& result)
{
  while (m_queue.size() > 0)
  {
    task_record* first = nullptr;
    for (std::size_t kind = 0; kind < static_cast<std::size_t>(task_kind::count); ++kind)
    {
      for (auto& [team, team_queue] : m_queue.of_kind(static_cast<task_kind>(kind)))
      {
        task_record* head = team_queue.begin()->second;
        if (first == nullptr || head->sequence < first->sequence)
          first = head;
      }
    }
    if (!try_place(*first, result))
      return;
    m_queue.remove(*first);
  }
}

bool placement_pass::try_place(task_record& task, pass_result& result)
{
  if (!in_scope(task) || exceeds_unplaceable_demand(task) || !leaves_headroom(task) ||
      delays_reserved(task))
    return false;
  std::optional<std::vector<std::size_t>> workers = m_pool.plan(task);
  if (!workers)
  {
    if (task.spec.members == 1)
      m_unplaceable_demands.push_back(task.spec.demand);
    return false;
  }
  for (std::size_t member = 0; member < workers->size(); ++member)
  {
    m_pool.grant((*workers)[member], task, member);
    m_pool.at((*workers)[member]).refresh(m_now);
    m_shares.started(task.spec.team, task.spec.demand);
    m_free_capacity_left -= task.spec.demand;
  }
  result.placements.push_back({&task, std::move(*workers)});
  return true;
}

bool placement_pass::in_scope(const task_record& task) const
{
  if (m_placement_scope == placement_scope::all)
    return true;
  return !task.spec.keyed && !task.spec.durable() && task.spec.kind != task_kind::service &&
         !task.may_have_run;
}

bool placement_pass::exceeds_unplaceable_demand(const task_record& task) const
{
  return std::ranges::any_of(m_unplaceable_demands, [&task](const resources& failed)
                             { return failed.fits_in(task.spec.demand); });
}

bool placement_pass::leaves_headroom(const task_record& task) const
{
  if (task.spec.kind == task_kind::interactive)
    return true;
  const resources taken = scaled(task.spec.demand, task.spec.members);
  return m_headroom.fits_in(m_free_capacity_left - taken);
}

// Backfilling: a batch task that is expected to run beyond the time at which the waiting gang fits
// must wait.
bool placement_pass::delays_reserved(const task_record& task) const
{
  if (m_gang_reservation_start == k_never || task.spec.kind != task_kind::batch)
    return false;
  return m_now + m_estimator.estimate(task.spec.workload, task.spec.expected_run) >
         m_gang_reservation_start;
}

void placement_pass::handle_unplaced(task_record& task, pass_result& result)
{
  if (!in_scope(task))
    return;
  const bool reservation_not_due = m_now - task.accepted_at < m_options.gang_timeout;
  if (task.spec.kind == task_kind::gang && !reservation_not_due &&
      m_gang_reservation_start == k_never)
    reserve_for(task);
  if (m_options.preempt && may_preempt(task))
    choose_victims(task, result);
}

void placement_pass::reserve_for(const task_record& task)
{
  struct release_event
  {
    time_point at;
    std::size_t position;
    resources demand;
  };
  std::vector<release_event> releases;
  std::vector<resources> free_capacities;
  std::uint64_t fitting = 0;
  for (std::size_t position = 0; position < m_pool.size(); ++position)
  {
    free_capacities.push_back(m_pool.at(position).room());
    fitting += members_fitting_in(task.spec.demand, free_capacities.back());
    for (const placed_member& placed : m_pool.placed_on(position))
    {
      if (placed.task->spec.kind == task_kind::service)
        continue;
      const task_spec& running = placed.task->spec;
      const duration run = m_estimator.estimate(running.workload, running.expected_run);
      releases.push_back({std::max(m_now, placed.task->started_at + run), position, placed.demand});
    }
  }
  std::ranges::sort(releases, {}, &release_event::at);
  for (const release_event& release : releases)
  {
    resources& free_capacity = free_capacities[release.position];
    fitting -= members_fitting_in(task.spec.demand, free_capacity);
    free_capacity += release.demand;
    fitting += members_fitting_in(task.spec.demand, free_capacity);
    m_gang_reservation_start = release.at;
    if (fitting >= task.spec.members)
      return;
  }
}

bool placement_pass::may_preempt(const task_record& task) const
{
  if (task.spec.members > 1 || m_now < task.last_preemption_at + k_preemption_interval)
    return false;
  return task.spec.kind == task_kind::interactive || is_urgent(task) ||
         (task.spec.kind == task_kind::batch && m_shares.ratio(task.spec.team) < 1.0);
}

bool placement_pass::is_victim_for(const task_record& victim, const task_record& task) const
{
  const bool stoppable = victim.spec.kind == task_kind::batch && victim.spec.repeatable &&
                         victim.stopping == stop_cause::none && victim.phase == task_phase::active;
  if (!stoppable)
    return false;
  if (task.spec.kind == task_kind::interactive)
    return true;
  if (is_urgent(task))
    return victim.spec.priority <= task.spec.priority - k_urgent_priority;
  return victim.spec.team != task.spec.team && m_shares.exceeds_entitlement(victim.spec.team) &&
         !is_urgent(victim);
}

void placement_pass::choose_victims(task_record& task, pass_result& result)
{
  std::vector<task_record*> best;
  for (std::size_t position = 0; position < m_pool.size(); ++position)
  {
    if (!m_pool.at(position).placeable())
      continue;
    std::vector<task_record*> victims = victims_on(position, task);
    if (!victims.empty() && (best.empty() || victims.size() < best.size()))
      best = std::move(victims);
  }
  if (best.empty())
    return;
  task.last_preemption_at = m_now;
  for (task_record* victim : best)
  {
    if (std::ranges::find(result.victims, victim) == result.victims.end())
      result.victims.push_back(victim);
  }
}

// Returns the most recently started victims on the worker whose preemption releases enough capacity
// for the task; empty if preempting all of them would not suffice.
std::vector<task_record*> placement_pass::victims_on(std::size_t position,
                                                     const task_record& task) const
{
  std::vector<placed_member> candidates;
  for (const placed_member& placed : m_pool.placed_on(position))
  {
    if (is_victim_for(*placed.task, task))
      candidates.push_back(placed);
  }
  std::ranges::sort(candidates,
                    [](const placed_member& left, const placed_member& right)
                    {
                      if (left.task->started_at != right.task->started_at)
                        return left.task->started_at > right.task->started_at;
                      return left.task->sequence > right.task->sequence;
                    });
  resources free_capacity = m_pool.at(position).room();
  std::vector<task_record*> victims;
  for (const placed_member& candidate : candidates)
  {
    free_capacity += candidate.demand;
    victims.push_back(candidate.task);
    if (task.spec.demand.fits_in(free_capacity))
      return victims;
  }
  return {};
}
} // namespace yardhill::decision
