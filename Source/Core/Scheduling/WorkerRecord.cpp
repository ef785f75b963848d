// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/WorkerRecord.h"

#include <algorithm>

namespace yardhill::scheduling
{
worker_clock_time worker_record::clock_at(time_point now) const
{
  return std::chrono::duration_cast<milliseconds>(now.time_since_epoch()) +
         clock_ahead.value_or(milliseconds{0});
}

void worker_record::begin_incarnation(std::uint64_t incarnation_number)
{
  static_cast<worker_incarnation&>(*this) = {};
  number = incarnation_number;
  for (const auto& [task, run] : runs)
    run->orphaned = true;
}

void worker_record::set_unresponsive(bool silent, time_point now)
{
  if (silent && !unresponsive)
    silent_since = now;
  unresponsive = silent;
}

void worker_record::note_order(bool answered, unsigned most_unanswered, time_point now)
{
  unanswered = answered ? 0 : unanswered + 1;
  incarnation_uncertain |= !answered;
  if (answered || unanswered >= most_unanswered)
    set_unresponsive(!answered, now);
}

bool worker_record::should_close_claim(duration timeout, time_point now) const
{
  return info.draining || silent_for(timeout, now);
}

bool worker_record::silent_for(duration timeout, time_point now) const
{
  return unresponsive && now - silent_since >= timeout;
}

bool worker_record::silent_after_start(duration within, time_point now) const
{
  const time_point silent = unresponsive ? silent_since : now;
  return std::any_of(runs.begin(), runs.end(),
                     [within, silent](const auto& each)
                     { return silent - each.second->begun <= within; });
}

std::uint32_t worker_record::count_runs_of_step(const job_record& job, std::uint32_t cycle,
                                                std::uint32_t step) const
{
  const auto first = runs.lower_bound({job.id(), {cycle, step, 0}});
  std::uint32_t count = 0;
  for (auto each = first; each != runs.end() && each->first.job == job.id() &&
                          each->first.place.cycle == cycle && each->first.place.step == step;
       ++each)
    ++count;
  return count;
}

bool worker_record::has_label(const std::string& label) const
{
  return label.empty() ||
         std::find(info.labels.begin(), info.labels.end(), label) != info.labels.end();
}

common::resources required_resources(const jobs::step_spec& step)
{
  common::resources required = step.demand;
  if (step.uses_idle_cpu)
    required.cpu_millis = 0;
  return required;
}

std::uint32_t tasks_that_fit(const common::resources& task, const common::resources& free,
                             std::uint32_t most)
{
  using common::resources;
  if (!task.fits_in(free))
    return 0;
  std::int64_t count = most;
  for (const auto member : {&resources::cpu_millis, &resources::memory_mib,
                            &resources::accelerators, &resources::slots, &resources::connections})
  {
    if (task.*member > 0)
      count = std::min(count, free.*member / task.*member);
  }
  return static_cast<std::uint32_t>(count);
}
} // namespace yardhill::scheduling
