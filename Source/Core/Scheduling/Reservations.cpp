// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/Reservations.h"

#include <algorithm>
#include <vector>

namespace yardhill::scheduling
{
namespace
{
// A run that already takes longer than expected is assumed to end after this time.
constexpr milliseconds k_overdue_run_end{250};
} // namespace

reservations::reservations(const scheduler_state& state) : m_state(state) {}

time_point reservations::expected_end(const run_record& run, time_point now) const
{
  if (run.spec().long_running || run.spec().estimate.count() <= 0)
    return time_point::max();
  const duration run_time =
      m_state.runtimes.expected(run.job->accepted().queue, run.spec().estimate);
  return std::max(run.begun + m_state.speeds.time_on(run.worker->info.id, run_time),
                  now + k_overdue_run_end);
}

common::resources reservations::free_capacity_at(const worker_record& worker, time_point when,
                                                 time_point now) const
{
  common::resources free = worker.free();
  for (const auto& [task, run] : worker.runs)
  {
    if (expected_end(*run, now) <= when)
      free += run->room;
  }
  return free;
}

std::optional<time_point> reservations::expected_free_from(const worker_record& worker,
                                                           const common::resources& needed,
                                                           time_point now) const
{
  std::vector<std::pair<time_point, const run_record*>> ends;
  for (const auto& [task, run] : worker.runs)
    ends.emplace_back(expected_end(*run, now), run.get());
  std::sort(ends.begin(), ends.end());
  common::resources free = worker.free();
  time_point when = now;
  for (const auto& [end, run] : ends)
  {
    if (needed.fits_in(free))
      break;
    free += run->room;
    when = end;
  }
  if (!needed.fits_in(free) || when == time_point::max())
    return std::nullopt;
  return when;
}

void reservations::add(const worker_id& worker, const step_ref& step,
                       const common::resources& capacity, time_point expected_at)
{
  m_by_worker[worker] = {step, capacity, expected_at};
}

bool reservations::any_for(const step_ref& step) const
{
  return std::any_of(m_by_worker.begin(), m_by_worker.end(),
                     [&step](const auto& each) { return each.second.step == step; });
}

bool reservations::allows(const worker_record& worker, const job_record& job,
                          const task_place& place, time_point now) const
{
  const auto found = m_by_worker.find(worker.info.id);
  if (found == m_by_worker.end())
    return true;
  const reservation& reserved = found->second;
  if (reserved.step == step_ref{job.id(), place.cycle, place.step})
    return true;
  const step_record& step = job.cycles()[place.cycle].steps[place.step];
  const duration run_time = m_state.runtimes.expected(job.accepted().queue, step.spec->estimate);
  if (!step.spec->long_running && step.spec->estimate.count() > 0 &&
      now + m_state.speeds.time_on(worker.info.id, run_time) <= reserved.expected_at)
    return true;
  return required_resources(*step.spec)
      .fits_in(free_capacity_at(worker, reserved.expected_at, now) - reserved.capacity);
}

std::optional<time_point> reservations::expected_free_time(const step_ref& step,
                                                           const worker_id& worker) const
{
  const auto found = m_by_worker.find(worker);
  if (found == m_by_worker.end() || found->second.step != step)
    return std::nullopt;
  return found->second.expected_at;
}
} // namespace yardhill::scheduling
