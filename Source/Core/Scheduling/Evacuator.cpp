// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/Evacuator.h"

#include <algorithm>
#include <utility>

#include "Common/EventLog.h"

namespace yardhill::scheduling
{
evacuator::evacuator(scheduler_state& state, advice_planner& advice, placer& places)
    : m_state(state), m_advice(advice), m_placer(places)
{
}

void evacuator::tick(time_point now)
{
  if (!m_state.may_act(now))
    return;
  std::erase_if(m_destinations, [now](const auto& each) { return each.second <= now; });
  for (const auto& [id, worker] : m_state.workers)
  {
    if (worker->info.draining && worker->present() && worker->claimed && !worker->unresponsive)
      evacuate(*worker, now);
  }
  for (const auto& [step, tasks] : std::exchange(m_without_destination, {}))
    m_advice.want_for_running(*m_state.find_job(step.job), tasks, now);
}

// Runs that should end before the worker leaves stay, and so do runs that would have to begin again
// from their start elsewhere.
bool evacuator::worth_moving(const run_record& run, time_point now) const
{
  const jobs::step_spec& step = run.spec();
  if (run.phase != run_phase::running || step.gang || run.job->ended())
    return false;
  if (step.long_running)
    return true;
  return step.checkpointing && run.begun + step.estimate > now + m_state.options.min_drain_time;
}

bool evacuator::too_many_unavailable(const run_record& run) const
{
  const step_record& step = run.job->step(run.place);
  if (!step.spec->limits_unavailable)
    return false;
  std::uint32_t unavailable = 0;
  for (const task_record& task : step.tasks)
  {
    if (task.phase != task_phase::done)
      unavailable += task.runs.empty() || task.runs.front()->phase == run_phase::stopping ? 1 : 0;
  }
  // Owners that share a job do not know how many of each other's tasks are unavailable, so each one
  // uses its share of the limit.
  if (run.job->shared())
    return unavailable >= m_state.options.share.of_amount(step.spec->max_unavailable);
  return unavailable >= std::max(1U, step.spec->max_unavailable);
}

void evacuator::evacuate(worker_record& worker, time_point now)
{
  for (const auto& [ref, run] : worker.runs)
  {
    if (!worth_moving(*run, now) || too_many_unavailable(*run))
      continue;
    const worker_record* const destination = m_placer.worker_for(*run->job, run->place, now);
    if (destination == nullptr)
    {
      m_without_destination[{ref.job, run->place.cycle, run->place.step}].push_back(run->place);
      continue;
    }
    if (!m_destinations.emplace(destination->info.id, now + m_state.options.move_time).second)
      continue;
    common::log_request("run_moved_off", ref.job,
                        {{"step", ref.place.step},
                         {"task", ref.place.index},
                         {"run", run->number},
                         {"worker", worker.info.id.value},
                         {"room_at", destination->info.id.value}});
    m_state.metrics.add(common::retry_reason::worker_leaving);
    m_state.request_stop(*run, now);
  }
}
} // namespace yardhill::scheduling
