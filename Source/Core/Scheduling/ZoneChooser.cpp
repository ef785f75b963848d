// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/ZoneChooser.h"

#include <algorithm>
#include <map>

#include "Scheduling/AdvicePlanner.h"

namespace yardhill::scheduling
{
namespace
{
// A queue's policy permits a step on 35 to 70 % of the workers at the sites, so a zone should have
// room for more tasks than there are.
constexpr std::uint32_t k_room_factor = 2;

std::uint32_t tasks_that_fit(const common::resources& task, const common::resources& room,
                             std::uint32_t most)
{
  using common::resources;
  if (!task.fits_in(room))
    return 0;
  std::int64_t count = most;
  for (const auto member : {&resources::cpu_millis, &resources::memory_mib,
                            &resources::accelerators, &resources::slots, &resources::connections})
  {
    if (task.*member > 0)
      count = std::min(count, room.*member / task.*member);
  }
  return static_cast<std::uint32_t>(count);
}

// The zone that the job's tasks are kept in, if it is one.
std::string zone_so_far(const cycle_record& cycle)
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

zone_chooser::zone_chooser(const scheduler_state& state) : m_state(state) {}

bool zone_chooser::has_time(const job_record& job, std::uint32_t step, time_point now) const
{
  return job.objective() - (now + job.chain_from(step)) > m_state.options.longest_cut;
}

std::string zone_chooser::choose(const job_record& job, std::uint32_t cycle, std::uint32_t step,
                                 time_point now) const
{
  const cycle_record& in = job.cycles()[cycle];
  const step_record& record = in.steps[step];
  const jobs::step_spec& spec = *record.spec;
  if (spec.gang || spec.long_running || spec.uses_idle_cpu || has_time(job, step, now))
    return {};
  const std::uint32_t wanted = spec.count * k_room_factor;
  const std::uint32_t most = spec.max_tasks_per_worker == 0 ? wanted : spec.max_tasks_per_worker;
  std::map<std::string, std::uint32_t> room; // by zone, in tasks
  for (const auto& [id, worker] : m_state.workers)
  {
    if (m_state.usable(*worker, now) && worker->slow_until <= now && suits(*worker, job, record))
      room[worker->info.zone] += tasks_that_fit(room_of(spec), worker->free(), most);
  }
  std::string so_far = zone_so_far(in);
  if (!so_far.empty() && room[so_far] >= wanted)
    return so_far;
  const auto best = std::max_element(room.begin(), room.end(),
                                     [](const auto& left, const auto& right)
                                     { return left.second < right.second; });
  return best == room.end() || best->second < wanted ? std::string() : best->first;
}
} // namespace yardhill::scheduling
