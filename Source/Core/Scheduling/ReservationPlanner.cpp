// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/ReservationPlanner.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace yardhill::scheduling
{
namespace
{
// Tasks that need a smaller share of a worker than this find free capacity soon enough without a
// reservation.
constexpr double k_large_share = 0.5;

bool is_large(const step_record& step, const worker_record& worker)
{
  return common::dominant_share(required_resources(*step.spec), worker.info.capacity) >=
         k_large_share;
}
} // namespace

reservation_planner::reservation_planner(const scheduler_state& state, const start_rules& rules,
                                         reservations& reserved)
    : m_state(state), m_rules(rules), m_reservations(reserved)
{
}

bool reservation_planner::lacks_only_capacity(const worker_record& worker, const job_record& job,
                                              const task_place& place, time_point now) const
{
  const obstacle found = m_rules.obstacle_at(worker, job, place, now, isolation::ignored);
  return found == obstacle::none || found == obstacle::no_ticket || found == obstacle::no_room;
}

void reservation_planner::reserve_for(job_record& job, std::uint32_t cycle, std::uint32_t step,
                                      time_point now)
{
  const step_record& record = job.cycles()[cycle].steps[step];
  const std::optional<std::uint32_t> first = record.first_waiting();
  if (!first)
    return;
  const task_place place{cycle, step, *first};
  // Even a start now would miss the objective.
  if (now + job.critical_path_from(step) > job.objective())
    return;
  const common::resources needed = required_resources(*record.spec);
  std::vector<std::pair<time_point, worker_id>> candidates;
  const auto consider = [&](const worker_record& worker)
  {
    if (!is_large(record, worker) || m_reservations.reserved(worker.info.id) ||
        !lacks_only_capacity(worker, job, place, now))
      return;
    const auto when = m_reservations.expected_free_from(worker, needed, now);
    if (when && *when + job.critical_path_from(step) <= job.objective())
      candidates.emplace_back(*when, worker.info.id);
  };
  if (job.policy().advice)
  {
    for (const auto& [id, permitted] : record.permits.permitted)
    {
      const auto found = m_state.workers.find(id);
      if (permitted && found != m_state.workers.end())
        consider(*found->second);
    }
  }
  else
  {
    for (const auto& [id, worker] : m_state.workers)
      consider(*worker);
  }
  std::sort(candidates.begin(), candidates.end());
  candidates.resize(std::min<std::size_t>(candidates.size(), record.waiting));
  for (const auto& [when, id] : candidates)
    m_reservations.add(id, {job.id(), cycle, step}, needed, when);
}
} // namespace yardhill::scheduling
