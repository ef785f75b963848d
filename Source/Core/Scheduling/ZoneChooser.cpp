// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/ZoneChooser.h"

#include <algorithm>
#include <map>

namespace yardhill::scheduling
{
namespace
{
// A zone needs free capacity for this many times the step's tasks, because a queue's policy permits
// a step only on 35 to 70 % of the workers at the sites.
constexpr std::uint32_t k_capacity_factor = 2;

// The zone to which the cycle's tasks are restricted; empty if none of its steps has a begin mark
// or one of them may run in any zone.
std::string zone_of(const cycle_record& cycle)
{
  std::string zone;
  for (const step_record& step : cycle.steps)
  {
    if (step.begun.mark == begin_mark::none)
      continue;
    if (step.begun.anywhere())
      return {};
    zone = step.begun.zone;
  }
  return zone;
}
} // namespace

zone_chooser::zone_chooser(const scheduler_state& state, const start_rules& rules)
    : m_state(state), m_rules(rules)
{
}

bool zone_chooser::has_slack(const job_record& job, std::uint32_t step, time_point now) const
{
  return job.objective() - (now + job.critical_path_from(step)) >
         m_state.options.max_zone_isolation;
}

std::string zone_chooser::choose(const job_record& job, std::uint32_t cycle, std::uint32_t step,
                                 time_point now) const
{
  const cycle_record& its_cycle = job.cycles()[cycle];
  const step_record& record = its_cycle.steps[step];
  const jobs::step_spec& spec = *record.spec;
  if (spec.gang || spec.long_running || spec.uses_idle_cpu || has_slack(job, step, now))
    return {};
  const std::uint32_t wanted_tasks = spec.count * k_capacity_factor;
  std::map<std::string, std::uint32_t> capacity; // number of tasks that fit, by zone
  for (const auto& [id, worker] : m_state.workers)
  {
    if (m_state.usable(*worker, now) && worker->slow_until <= now &&
        meets_requirements(*worker, job, record))
      capacity[worker->info.zone] +=
          m_rules.tasks_that_fit_now(*worker, job, {job.id(), cycle, step}, wanted_tasks);
  }
  std::string current_zone = zone_of(its_cycle);
  if (!current_zone.empty() && capacity[current_zone] >= wanted_tasks)
    return current_zone;
  const auto best = std::max_element(capacity.begin(), capacity.end(),
                                     [](const auto& left, const auto& right)
                                     { return left.second < right.second; });
  return best == capacity.end() || best->second < wanted_tasks ? std::string() : best->first;
}
} // namespace yardhill::scheduling
