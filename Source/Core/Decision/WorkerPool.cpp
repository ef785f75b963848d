// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Decision/WorkerPool.h"

#include <algorithm>
#include <limits>

namespace yardhill::decision
{
namespace
{
// Larger than any strategy's score, so that the worker that last failed the task is chosen only if
// no other fits.
constexpr double k_failed_worker_penalty = 1e9;

std::int64_t multiples_in(std::int64_t part, std::int64_t whole)
{
  return part > 0 ? whole / part : std::numeric_limits<std::int64_t>::max();
}
} // namespace

void worker_pool::configure(const std::vector<worker_config>& workers)
{
  m_capacity = resources{};
  std::vector<bool> configured(m_ledgers.size(), false);
  for (const worker_config& worker : workers)
  {
    const auto [entry, added] = m_positions.try_emplace(worker.id, m_ledgers.size());
    if (added)
    {
      m_ledgers.emplace_back(worker, m_options);
      m_placed.emplace_back();
    }
    else
    {
      m_ledgers[entry->second].set_config(worker);
      configured[entry->second] = true;
    }
    m_capacity += m_ledgers[entry->second].capacity();
  }
  for (std::size_t position = 0; position < configured.size(); ++position)
  {
    if (!configured[position])
      m_ledgers[position].set_leaving();
  }
}

std::optional<std::size_t> worker_pool::position_of(const worker_id& id) const
{
  const auto found = m_positions.find(id);
  if (found == m_positions.end())
    return std::nullopt;
  return found->second;
}

resources worker_pool::total_free_capacity() const
{
  resources sum;
  for (const worker_ledger& ledger : m_ledgers)
  {
    if (ledger.room().slots > 0)
      sum += ledger.room();
  }
  return sum;
}

resources worker_pool::live_capacity() const
{
  resources sum;
  for (const worker_ledger& ledger : m_ledgers)
  {
    if (ledger.placeable())
      sum += ledger.capacity();
  }
  return sum;
}

std::optional<resource_dimension> worker_pool::never_fits(const resources& demand) const
{
  std::optional<resource_dimension> excess = resource_dimension::slots;
  for (const worker_ledger& ledger : m_ledgers)
  {
    excess = demand.first_excess(ledger.capacity());
    if (!excess)
      return std::nullopt;
  }
  return excess;
}

std::uint64_t members_fitting_in(const resources& demand, const resources& free_capacity)
{
  const std::int64_t most = std::min({multiples_in(demand.cpu_millis, free_capacity.cpu_millis),
                                      multiples_in(demand.memory_mib, free_capacity.memory_mib),
                                      multiples_in(demand.accelerators, free_capacity.accelerators),
                                      multiples_in(demand.slots, free_capacity.slots),
                                      multiples_in(demand.connections, free_capacity.connections)});
  return static_cast<std::uint64_t>(std::clamp<std::int64_t>(most, 0, k_worker_slots));
}

std::uint64_t worker_pool::max_members(const resources& demand) const
{
  std::uint64_t sum = 0;
  for (const worker_ledger& ledger : m_ledgers)
    sum += members_fitting_in(demand, ledger.capacity());
  return sum;
}

void worker_pool::refresh_circuits(time_point now)
{
  for (worker_ledger& ledger : m_ledgers)
    ledger.refresh(now);
}

std::optional<std::vector<std::size_t>> worker_pool::plan(const task_record& task)
{
  const placement_strategy& strategy = m_policy.by_kind[static_cast<std::size_t>(task.spec.kind)];
  std::vector<std::size_t> chosen;
  chosen.reserve(task.spec.members);
  while (chosen.size() < task.spec.members)
  {
    const std::optional<std::size_t> position = choose(task, strategy);
    if (!position)
      break;
    chosen.push_back(*position);
    m_ledgers[*position].grant(task.spec.demand);
  }
  for (const std::size_t position : chosen)
    m_ledgers[position].release(task.spec.demand);
  if (chosen.size() < task.spec.members)
    return std::nullopt;
  return chosen;
}

std::optional<std::size_t> worker_pool::choose(const task_record& task,
                                               const placement_strategy& strategy)
{
  std::optional<std::size_t> best;
  double best_score = 0;
  const resources& demand = task.spec.demand;
  for (std::size_t position = 0; position < m_ledgers.size(); ++position)
  {
    const worker_ledger& ledger = m_ledgers[position];
    if (!demand.fits_in(ledger.room()))
      continue;
    // A worker whose circuit is not closed is probed with repeatable single-member tasks, one at a
    // time.
    if (!ledger.circuit().closed() && (!task.spec.repeatable || task.spec.members > 1))
      continue;
    double score = strategy.score(candidate_at(position, task, strategy));
    if (ledger.id() == task.failed_on)
      score -= k_failed_worker_penalty;
    if (!best || score > best_score)
    {
      best = position;
      best_score = score;
    }
  }
  return best;
}

placement_candidate worker_pool::candidate_at(std::size_t position, const task_record& task,
                                              const placement_strategy& strategy) const
{
  const worker_ledger& ledger = m_ledgers[position];
  placement_candidate candidate{ledger.room(),
                                ledger.capacity(),
                                task.spec.demand,
                                0,
                                0,
                                static_cast<std::uint32_t>(position)};
  if (!strategy.counts_colocated)
    return candidate;
  candidate.colocated_on_worker = colocated_on_worker(position, task.spec.workload);
  candidate.colocated_on_rack = colocated_on_rack(position, task.spec.workload);
  return candidate;
}

std::uint32_t worker_pool::colocated_on_worker(std::size_t position,
                                               const workload_id& workload) const
{
  const auto same = [&workload](const placed_member& placed)
  { return placed.task->spec.workload == workload; };
  return static_cast<std::uint32_t>(std::ranges::count_if(m_placed[position], same));
}

std::uint32_t worker_pool::colocated_on_rack(std::size_t position,
                                             const workload_id& workload) const
{
  std::uint32_t sum = 0;
  for (std::size_t other = 0; other < m_ledgers.size(); ++other)
  {
    if (m_ledgers[other].rack() == m_ledgers[position].rack())
      sum += colocated_on_worker(other, workload);
  }
  return sum;
}

void worker_pool::grant(std::size_t position, task_record& task, std::size_t member)
{
  worker_ledger& ledger = m_ledgers[position];
  ledger.grant(task.spec.demand);
  m_placed[position].push_back({&task, member, task.spec.demand});
  if (!ledger.circuit().closed())
    ledger.circuit().probe_started();
}

void worker_pool::release(std::size_t position, const task_record& task, std::size_t member)
{
  std::vector<placed_member>& placed = m_placed[position];
  const auto found =
      std::ranges::find_if(placed, [&](const placed_member& entry)
                           { return entry.task == &task && entry.member == member; });
  if (found == placed.end())
    return;
  m_ledgers[position].release(found->demand);
  *found = placed.back();
  placed.pop_back();
}

void worker_pool::clear_grants()
{
  for (std::size_t position = 0; position < m_ledgers.size(); ++position)
  {
    for (const placed_member& placed : m_placed[position])
      m_ledgers[position].release(placed.demand);
    m_placed[position].clear();
    m_ledgers[position].set_usable(false, false, {});
  }
}
} // namespace yardhill::decision
