// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/Backlog.h"

#include <algorithm>

namespace yardhill::scheduling
{
namespace
{
void add_waiting_steps(backlog& sum, job_record& job, jobs::wall_time wall, time_point now)
{
  for (std::uint32_t c = 0; c < job.cycles().size(); ++c)
  {
    for (std::uint32_t s = 0; s < job.cycles()[c].steps.size(); ++s)
    {
      step_record& step = job.cycles()[c].steps[s];
      if (step.waiting == 0 || !job.ready(c, s, wall))
      {
        step.waiting_since.reset();
        continue;
      }
      if (!step.waiting_since)
        step.waiting_since = now;
      sum.tasks_waiting += step.waiting;
      sum.oldest_wait = std::max(sum.oldest_wait, now - *step.waiting_since);
    }
  }
}

std::uint64_t milliseconds_of(duration time)
{
  return static_cast<std::uint64_t>(common::to_milliseconds(time).count());
}
} // namespace

backlog update_backlog(scheduler_state& state, const worker_holder& holder,
                       const wait_report& waits, time_point now)
{
  backlog sum;
  sum.long_running_waiting = waits.waiting();
  sum.longest_long_running_wait = waits.longest();
  sum.worker_speeds_used = state.speeds.ratios_used();
  for (const auto& [id, worker] : state.workers)
  {
    const duration overdue = holder.overdue(*worker, now);
    sum.holds_overdue += overdue > duration{0} ? 1 : 0;
    sum.max_hold_overdue = std::max(sum.max_hold_overdue, overdue);
    sum.workers_silent += worker->unresponsive ? 1 : 0;
    sum.ends_kept += worker->kept_ends.size();
  }
  for (const std::string& id : state.open)
    add_waiting_steps(sum, *state.jobs.at(id), state.wall(now), now);
  return sum;
}

void publish(const backlog& shown, common::metrics& metrics)
{
  using common::gauge;
  metrics.set(gauge::holds_overdue, shown.holds_overdue);
  metrics.set(gauge::hold_overdue_ms, milliseconds_of(shown.max_hold_overdue));
  metrics.set(gauge::workers_silent, shown.workers_silent);
  metrics.set(gauge::ends_kept, shown.ends_kept);
  metrics.set(gauge::tasks_waiting, shown.tasks_waiting);
  metrics.set(gauge::oldest_wait_ms, milliseconds_of(shown.oldest_wait));
  metrics.set(gauge::lasting_waiting, shown.long_running_waiting);
  metrics.set(gauge::lasting_wait_ms, milliseconds_of(shown.longest_long_running_wait));
  metrics.set(gauge::worker_speeds_used, shown.worker_speeds_used);
}
} // namespace yardhill::scheduling
