// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/Reservations.h"

#include <algorithm>
#include <vector>

#include "Scheduling/AdvicePlanner.h"

namespace yardhill::scheduling
{
namespace
{
// Tasks that take less of a worker than this find room soon enough by themselves.
constexpr double k_large_share = 0.5;
// A run that takes longer than expected should end this soon.
constexpr milliseconds k_overdue_end{250};
} // namespace

reservations::reservations(const scheduler_state& state) : m_state(state) {}

bool reservations::large(const step_record& step, const worker_record& worker) const
{
  return common::dominant_share(room_of(*step.spec), worker.info.capacity) >= k_large_share;
}

time_point reservations::expected_end(const run_record& run, time_point now) const
{
  if (run.spec().long_running || run.spec().estimate.count() <= 0)
    return time_point::max();
  const duration takes = m_state.runtimes.expected(run.job->accepted().queue, run.spec().estimate);
  return std::max(run.begun + takes, now + k_overdue_end);
}

common::resources reservations::free_at(const worker_record& worker, time_point when,
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

std::optional<time_point> reservations::room_from(const worker_record& worker,
                                                  const common::resources& room,
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
    if (room.fits_in(free))
      break;
    free += run->room;
    when = end;
  }
  if (!room.fits_in(free) || when == time_point::max())
    return std::nullopt;
  return when;
}

void reservations::keep_for(job_record& job, std::uint32_t cycle, std::uint32_t step,
                            time_point now)
{
  const step_record& in = job.cycles()[cycle].steps[step];
  // No room comes sooner than now.
  if (now + job.critical_path_from(step) > job.objective())
    return;
  const common::resources room = room_of(*in.spec);
  std::vector<std::pair<time_point, worker_id>> candidates;
  const auto consider = [&](const worker_record& worker)
  {
    if (!large(in, worker) || !m_state.usable(worker, now) || !in.begun.covers(worker.info.zone) ||
        !suits(worker, job, in) || m_kept.contains(worker.info.id))
      return;
    const auto when = room_from(worker, room, now);
    if (when && *when + job.critical_path_from(step) <= job.objective())
      candidates.emplace_back(*when, worker.info.id);
  };
  if (job.policy().advice)
  {
    for (const auto& [id, permitted] : in.permits.permitted)
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
  candidates.resize(std::min<std::size_t>(candidates.size(), in.waiting));
  for (const auto& [when, id] : candidates)
    m_kept[id] = {{job.id(), cycle, step}, room, when};
}

bool reservations::allows(const worker_record& worker, const job_record& job,
                          const step_record& step, time_point now) const
{
  const auto kept = m_kept.find(worker.info.id);
  if (kept == m_kept.end())
    return true;
  const reservation& held = kept->second;
  const duration takes = m_state.runtimes.expected(job.accepted().queue, step.spec->estimate);
  if (!step.spec->long_running && step.spec->estimate.count() > 0 && now + takes <= held.when)
    return true;
  return room_of(*step.spec).fits_in(free_at(worker, held.when, now) - held.room);
}

std::optional<time_point> reservations::expected(const step_ref& step,
                                                 const worker_id& worker) const
{
  const auto kept = m_kept.find(worker);
  if (kept == m_kept.end() || kept->second.step != step)
    return std::nullopt;
  return kept->second.when;
}
} // namespace yardhill::scheduling
