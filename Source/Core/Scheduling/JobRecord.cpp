// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/JobRecord.h"

#include <algorithm>
#include <utility>

namespace yardhill::scheduling
{
std::optional<std::uint32_t> step_record::first_waiting() const
{
  const auto found =
      std::find_if(tasks.begin(), tasks.end(),
                   [](const task_record& each) { return each.phase == task_phase::waiting; });
  if (found == tasks.end())
    return std::nullopt;
  return static_cast<std::uint32_t>(found - tasks.begin());
}

job_record::job_record(jobs::accepted_job job, const jobs::queue_policy& policy,
                       time_point accepted)
    : m_job(std::move(job)), m_policy(policy), m_accepted_at(accepted)
{
  m_cycles.resize(m_job.spec.cycles());
  for (cycle_record& cycle : m_cycles)
  {
    cycle.steps.resize(m_job.spec.steps.size());
    for (std::size_t i = 0; i < cycle.steps.size(); ++i)
    {
      cycle.steps[i].spec = &m_job.spec.steps[i];
      cycle.steps[i].tasks.resize(m_job.spec.steps[i].count);
      cycle.steps[i].waiting = m_job.spec.steps[i].count;
    }
  }
  set_deadlines();
}

void job_record::set_policy(const jobs::queue_policy& policy)
{
  m_policy = policy;
  set_deadlines();
}

void job_record::keep_terms(const jobs::acceptance_terms& terms)
{
  m_job.terms = terms;
  m_terms_in_progress = true;
}

void job_record::set_deadlines()
{
  m_critical_paths = jobs::critical_paths_from(m_job.spec.steps);
  const duration allowed = jobs::latency_objective(m_policy, m_job.spec.steps);
  m_objective = m_accepted_at + allowed;
  m_credit_end = m_accepted_at + allowed * jobs::k_late_factor;
}

job_prospect job_record::prospect(std::uint32_t step, time_point now) const
{
  // Such a step earns credit for as long as its tasks run.
  if (m_job.spec.steps[step].long_running)
    return job_prospect::in_time;
  const time_point end = now + m_critical_paths[step];
  if (end <= m_objective)
    return job_prospect::in_time;
  return end <= m_credit_end ? job_prospect::late : job_prospect::none;
}

bool job_record::contains(const task_place& place) const
{
  return place.cycle < m_cycles.size() && place.step < m_cycles[place.cycle].steps.size() &&
         place.index < m_cycles[place.cycle].steps[place.step].tasks.size();
}

std::uint32_t job_record::waiting() const
{
  std::uint32_t sum = 0;
  for (const cycle_record& cycle : m_cycles)
  {
    for (const step_record& step : cycle.steps)
      sum += step.waiting;
  }
  return sum;
}

bool job_record::ready(std::uint32_t cycle, std::uint32_t step, jobs::wall_time wall) const
{
  if (m_job.spec.repeats > 0 && wall < m_job.spec.due(cycle))
    return false;
  const auto& steps = m_cycles[cycle].steps;
  const auto& needs = steps[step].spec->depends_on;
  return std::all_of(needs.begin(), needs.end(),
                     [&steps](std::uint32_t needed) { return steps[needed].complete(); });
}

bool job_record::all_done() const
{
  return std::all_of(m_cycles.begin(), m_cycles.end(),
                     [](const cycle_record& cycle)
                     {
                       return std::all_of(cycle.steps.begin(), cycle.steps.end(),
                                          [](const step_record& step) { return step.complete(); });
                     });
}

bool job_record::has_runs() const
{
  for (const cycle_record& cycle : m_cycles)
  {
    for (const step_record& step : cycle.steps)
    {
      if (std::any_of(step.tasks.begin(), step.tasks.end(),
                      [](const task_record& task) { return !task.runs.empty(); }))
        return true;
    }
  }
  return false;
}

bool job_record::has_suspect_on(const std::string& worker) const
{
  for (const cycle_record& cycle : m_cycles)
  {
    for (const step_record& step : cycle.steps)
    {
      if (std::any_of(step.tasks.begin(), step.tasks.end(),
                      [&worker](const task_record& task)
                      { return task.crashes.announced_on == worker && suspected(task.crashes); }))
        return true;
    }
  }
  return false;
}

common::resources job_record::unaccounted_demand() const
{
  common::resources sum;
  for (const cycle_record& cycle : m_cycles)
  {
    for (const step_record& step : cycle.steps)
    {
      for (const task_record& task : step.tasks)
      {
        if (task.phase == task_phase::unaccounted)
          sum += step.spec->demand;
      }
    }
  }
  return sum;
}

void job_record::set_phase(const task_place& place, task_phase phase)
{
  step_record& record = step(place);
  task_record& task = record.tasks[place.index];
  if (task.phase == phase)
    return;
  record.waiting -= task.phase == task_phase::waiting ? 1 : 0;
  record.done -= task.phase == task_phase::done ? 1 : 0;
  record.waiting += phase == task_phase::waiting ? 1 : 0;
  record.done += phase == task_phase::done ? 1 : 0;
  task.phase = phase;
}

jobs::job_progress job_record::progress() const
{
  jobs::job_progress progress;
  // The mark is written before the first start, and a later owner may read nothing newer than that
  // row. A job that callers have seen as active must not be shown as queued again.
  const bool active = m_state == jobs::job_state::queued && begin_marked(begin_mark::wanted);
  progress.state = active ? jobs::job_state::active : m_state;
  if (ended())
    return progress;
  if (m_terms_in_progress)
    progress.terms = m_job.terms;
  for (std::uint32_t c = 0; c < m_cycles.size(); ++c)
  {
    auto& row = progress.done.emplace_back();
    for (std::uint32_t s = 0; s < m_cycles[c].steps.size(); ++s)
    {
      const step_record& step = m_cycles[c].steps[s];
      auto& bits = row.emplace_back();
      if (step.begun.mark != begin_mark::none)
        progress.begun[{c, s, 0}] = step.begun.anywhere() ? std::string() : step.begun.zone;
      for (std::uint32_t i = 0; i < step.tasks.size(); ++i)
      {
        const task_record& task = step.tasks[i];
        bits.push_back(task.phase == task_phase::done);
        if (task.phase != task_phase::done &&
            (!task.failed_runs.empty() || !task.checkpoint.empty() || task.crashes.any()))
          progress.histories[{c, s, i}] = {task.failed_runs, task.checkpoint, task.crashes};
      }
    }
  }
  return progress;
}

void job_record::restore(const jobs::job_progress& progress, run_number first_run)
{
  m_state = progress.state;
  for (std::uint32_t c = 0; c < m_cycles.size(); ++c)
  {
    for (std::uint32_t s = 0; s < m_cycles[c].steps.size(); ++s)
    {
      step_record& step = m_cycles[c].steps[s];
      for (std::uint32_t i = 0; i < step.tasks.size(); ++i)
      {
        step.tasks[i].last_run = first_run;
        if (c < progress.done.size() && s < progress.done[c].size() &&
            i < progress.done[c][s].size() && progress.done[c][s][i] &&
            step.tasks[i].phase != task_phase::done)
        {
          set_phase({c, s, i}, task_phase::done);
          set_known_begun();
        }
      }
    }
  }
  for (const auto& [place, zone] : progress.begun)
  {
    if (contains(place))
      step(place).begun = {begin_mark::written, zone, begin_mark::none};
  }
  if (m_state == jobs::job_state::queued && begin_marked(begin_mark::written))
    m_state = jobs::job_state::active;
  for (const auto& [place, history] : progress.histories)
  {
    if (!contains(place))
      continue;
    // A run that was announced, and may have been lost with its worker, may never have been
    // started, so the crash history does not show that the job has begun.
    if (!history.failed_runs.empty() || !history.checkpoint.empty())
      set_known_begun();
    task_record& kept = task(place);
    kept.failed_runs = history.failed_runs;
    kept.checkpoint = history.checkpoint;
    kept.crashes = history.crashes;
    kept.last_run = std::max(kept.last_run, history.crashes.announced);
    for (const run_number run : history.failed_runs)
      kept.last_run = std::max(kept.last_run, run);
  }
}

void job_record::exclude_other_shares(const jobs::task_share& share)
{
  for (std::uint32_t c = 0; c < m_cycles.size(); ++c)
  {
    for (std::uint32_t s = 0; s < m_cycles[c].steps.size(); ++s)
    {
      for (std::uint32_t i = 0; i < m_cycles[c].steps[s].tasks.size(); ++i)
      {
        if (!share.has(i))
          set_phase({c, s, i}, task_phase::done);
      }
    }
  }
}

void job_record::mark_unaccounted()
{
  for (std::uint32_t c = 0; c < m_cycles.size(); ++c)
  {
    for (std::uint32_t s = 0; s < m_cycles[c].steps.size(); ++s)
    {
      const step_record& step = m_cycles[c].steps[s];
      if (step.begun.mark == begin_mark::none)
        continue;
      for (std::uint32_t i = 0; i < step.tasks.size(); ++i)
        mark_unaccounted({c, s, i});
    }
  }
}

void job_record::mark_unaccounted_lost()
{
  for (cycle_record& cycle : m_cycles)
  {
    for (step_record& step : cycle.steps)
    {
      for (task_record& task : step.tasks)
        task.lost = task.lost || task.phase == task_phase::unaccounted;
    }
  }
}

void job_record::mark_unaccounted(const task_place& place)
{
  if (task(place).phase == task_phase::waiting)
    set_phase(place, task_phase::unaccounted);
}

void job_record::advance_begin_marks(begin_mark from, begin_mark to)
{
  for (cycle_record& cycle : m_cycles)
  {
    for (step_record& step : cycle.steps)
    {
      for (begin_mark* const mark : {&step.begun.mark, &step.begun.all_zones_mark})
        *mark = *mark == from ? to : *mark;
      for (task_record& task : step.tasks)
        task.announced = task.announced == from ? to : task.announced;
    }
  }
  if (m_state == jobs::job_state::queued && begin_marked(begin_mark::written))
    m_state = jobs::job_state::active;
}

bool job_record::begin_marked(begin_mark least) const
{
  return std::any_of(m_cycles.begin(), m_cycles.end(),
                     [least](const cycle_record& cycle)
                     {
                       return std::any_of(cycle.steps.begin(), cycle.steps.end(),
                                          [least](const step_record& step)
                                          { return step.begun.mark >= least; });
                     });
}
} // namespace yardhill::scheduling
