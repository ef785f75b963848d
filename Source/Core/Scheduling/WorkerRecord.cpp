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

void worker_record::begin_life(std::uint64_t its_number)
{
  static_cast<worker_life&>(*this) = {};
  number = its_number;
  for (const auto& [task, run] : runs)
    run->orphaned = true;
}

void worker_record::set_suspect(bool silent, time_point now)
{
  if (silent && !suspect)
    silent_since = now;
  suspect = silent;
}

void worker_record::note_order(bool answered, unsigned most_unanswered, time_point now)
{
  unanswered = answered ? 0 : unanswered + 1;
  life_doubted |= !answered;
  if (answered || unanswered >= most_unanswered)
    set_suspect(!answered, now);
}

bool worker_record::wants_closed_claim(duration patience, time_point now) const
{
  return info.draining || silent_for(patience, now);
}

bool worker_record::silent_for(duration patience, time_point now) const
{
  return suspect && now - silent_since >= patience;
}

bool worker_record::silent_after_start(duration within, time_point now) const
{
  const time_point silent = suspect ? silent_since : now;
  return std::any_of(runs.begin(), runs.end(),
                     [within, silent](const auto& each)
                     { return silent - each.second->begun <= within; });
}

std::uint32_t worker_record::tasks_of(const job_record& job, std::uint32_t cycle,
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

common::resources room_of(const jobs::step_spec& step)
{
  common::resources room = step.demand;
  if (step.uses_idle_cpu)
    room.cpu_millis = 0;
  return room;
}
} // namespace yardhill::scheduling
