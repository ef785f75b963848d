// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/Reservations.h"

#include <algorithm>
#include <vector>

#include "Scheduling/AdvicePlanner.h"
#include "Scheduling/GangPlan.h"

namespace yardhill::scheduling
{
namespace
{
// Tasks that need a smaller share of a worker than this find free capacity soon enough without a
// reservation.
constexpr double k_large_share = 0.5;
// A run that already takes longer than expected is assumed to end after this time.
constexpr milliseconds k_overdue_run_end{250};
// The most gangs for which capacity is reserved at a time. Reserved capacity is idle until the gang
// starts, and more gangs than these rarely start within the validity of the same tickets.
constexpr std::size_t k_max_reserved_gangs = 12;
} // namespace

reservations::reservations(const scheduler_state& state) : m_state(state) {}

bool reservations::is_large(const step_record& step, const worker_record& worker) const
{
  return common::dominant_share(required_resources(*step.spec), worker.info.capacity) >=
         k_large_share;
}

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

bool reservations::may_reserve(const worker_record& worker, const job_record& job,
                               const step_record& step, time_point now) const
{
  return m_state.usable(worker, now) && step.begun.covers(worker.info.zone) &&
         meets_requirements(worker, job, step) && !m_by_worker.contains(worker.info.id);
}

std::vector<time_point> reservations::openings(const worker_record& worker,
                                               const common::resources& needed, std::uint32_t most,
                                               time_point now) const
{
  std::vector<std::pair<time_point, const run_record*>> ends;
  for (const auto& [task, run] : worker.runs)
    ends.emplace_back(expected_end(*run, now), run.get());
  std::sort(ends.begin(), ends.end());
  common::resources free = worker.free();
  std::vector<time_point> found(tasks_that_fit(needed, free, most), now);
  for (const auto& [end, run] : ends)
  {
    if (found.size() >= most || end == time_point::max())
      break;
    free += run->room;
    found.resize(std::max<std::size_t>(found.size(), tasks_that_fit(needed, free, most)), end);
  }
  return found;
}

void reservations::reserve_for_gang(const job_record& job, const step_ref& which, time_point now)
{
  const step_record& record = job.cycles()[which.cycle].steps[which.step];
  if (m_gang_starts.size() >= k_max_reserved_gangs)
    return;
  const common::resources needed = required_resources(*record.spec);
  const std::uint32_t most = record.spec->max_tasks_per_worker == 0
                                 ? record.waiting
                                 : std::min(record.waiting, record.spec->max_tasks_per_worker);
  std::vector<gang_candidate> candidates;
  for (const auto& [id, ticket] : record.permits.tickets)
  {
    const auto worker = m_state.workers.find(id);
    if (ticket.until <= now || worker == m_state.workers.end() ||
        !may_reserve(*worker->second, job, record, now))
      continue;
    gang_candidate candidate{id, openings(*worker->second, needed, most, now)};
    std::erase_if(candidate.openings, [until = ticket.until](time_point at) { return at > until; });
    candidates.push_back(std::move(candidate));
  }
  const auto plan = plan_gang(candidates, record.waiting);
  if (!plan)
    return;
  m_gang_starts[which] = plan->start_at;
  for (const auto& [id, members] : plan->members)
    m_by_worker[id] = {which, common::scaled(needed, members), plan->start_at};
}

void reservations::reserve_for(job_record& job, std::uint32_t cycle, std::uint32_t step,
                               time_point now)
{
  const step_record& record = job.cycles()[cycle].steps[step];
  if (record.spec->gang && job.policy().advice)
  {
    reserve_for_gang(job, {job.id(), cycle, step}, now);
    return;
  }
  // Even a start now would miss the objective.
  if (now + job.critical_path_from(step) > job.objective())
    return;
  const common::resources needed = required_resources(*record.spec);
  std::vector<std::pair<time_point, worker_id>> candidates;
  const auto consider = [&](const worker_record& worker)
  {
    if (!is_large(record, worker) || !may_reserve(worker, job, record, now))
      return;
    const auto when = expected_free_from(worker, needed, now);
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
    m_by_worker[id] = {{job.id(), cycle, step}, needed, when};
}

bool reservations::allows(const worker_record& worker, const job_record& job,
                          const step_record& step, time_point now) const
{
  const auto found = m_by_worker.find(worker.info.id);
  if (found == m_by_worker.end())
    return true;
  const reservation& reserved = found->second;
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

bool reservations::was_reserved_for_other(const worker_id& worker, const step_ref& step) const
{
  const auto found = m_previous_pass.find(worker);
  return found != m_previous_pass.end() && found->second.step != step;
}

std::optional<time_point> reservations::gang_start(const step_ref& step) const
{
  const auto found = m_gang_starts.find(step);
  return found == m_gang_starts.end() ? std::nullopt : std::optional(found->second);
}
} // namespace yardhill::scheduling
