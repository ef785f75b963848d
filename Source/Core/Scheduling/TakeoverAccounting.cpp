// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/TakeoverAccounting.h"

#include <algorithm>

#include "Common/EventLog.h"

namespace yardhill::scheduling
{
takeover_accounting::takeover_accounting(scheduler_state& state, crash_watch& crashes)
    : m_state(state), m_crashes(crashes)
{
}

void takeover_accounting::expect_worker(const worker_id& id, const worker_claim& claim)
{
  if (claim.closed)
    m_listed[id] = claim.tasks;
  else
    m_unheard[id] = claim.zone;
}

void takeover_accounting::life_ended(const worker_id& id, time_point now)
{
  m_lost_workers[id] = crash_watch::earlier_worker::ended;
  note_lost_with(id, now);
}

// The worker's claim goes, or names its next life, as soon as that is written. So what it tells
// goes into the jobs' rows first: a later owner reads nothing else of it.
void takeover_accounting::note_lost_with(const worker_id& id, time_point now)
{
  const auto listed = m_listed.find(id);
  if (listed != m_listed.end())
  {
    for (const task_ref& task : listed->second)
    {
      if (job_record* const job = m_state.find_job(task.job))
        note_lost(*job, task.place, now);
    }
    return;
  }
  const auto unheard = m_unheard.find(id);
  if (unheard == m_unheard.end())
    return;
  for (const std::string& job : m_state.open)
    note_lost_in_zone(*m_state.jobs.at(job), unheard->second, now);
}

void takeover_accounting::note_lost_in_zone(job_record& job, const std::string& zone,
                                            time_point now)
{
  for (std::uint32_t c = 0; c < job.cycles().size(); ++c)
  {
    for (std::uint32_t s = 0; s < job.cycles()[c].steps.size(); ++s)
    {
      const step_record& step = job.cycles()[c].steps[s];
      if (!zone.empty() && !step.begun.covers(zone))
        continue;
      for (std::uint32_t i = 0; i < step.tasks.size(); ++i)
        note_lost(job, {c, s, i}, now);
    }
  }
}

void takeover_accounting::note_lost(job_record& job, const task_place& place, time_point now)
{
  if (!job.contains(place) || job.task(place).phase != task_phase::unaccounted)
    return;
  m_crashes.may_be_lost_unjudged(job, place);
  if (const auto fate = m_lost_workers.find(worker_id(job.task(place).crashes.announced_on));
      fate != m_lost_workers.end())
    m_crashes.released(job, place, fate->second, now);
}

void takeover_accounting::begin(time_point now)
{
  m_under_way = true;
  for (const auto& [id, worker] : m_state.workers)
  {
    if (!worker->claimed && !worker->claim)
      m_unheard[id] = worker->info.zone;
  }
  for (const auto& [id, tasks] : m_listed)
  {
    for (const task_ref& task : tasks)
    {
      job_record* const job = m_state.find_job(task.job);
      if (job != nullptr && job->contains(task.place))
        job->mark_unaccounted(task.place);
    }
  }
  release_accounted("at the takeover", now);
}

// What still may have run on workers that were never heard, and whose leases are over, counts as
// lost unheard: a later owner may have heard of its end.
void takeover_accounting::expire_unheard_workers(time_point now)
{
  const auto is_over = [this, now](const auto& each)
  {
    const worker_record* const worker = m_state.find_worker(each.first);
    const bool over = worker == nullptr || now >= worker->lease_end;
    if (over && m_lost_workers.emplace(each.first, crash_watch::earlier_worker::unheard).second)
      note_lost_with(each.first, now);
    return over;
  };
  const std::size_t given_up = std::erase_if(m_unheard, is_over) + std::erase_if(m_listed, is_over);
  if (given_up == 0)
    return;
  for (const std::string& id : m_state.open)
    m_state.jobs.at(id)->mark_unaccounted_lost();
  release_accounted("leases of earlier owners are over", now);
}

void takeover_accounting::on_worker_reported(const worker_id& id, time_point now)
{
  if (m_listed.erase(id) > 0 && m_under_way)
    release_accounted("listed tasks are told", now);
  const auto unheard = m_unheard.extract(id);
  if (unheard.empty() || !m_under_way)
    return;
  const bool zone_open =
      std::any_of(m_unheard.begin(), m_unheard.end(),
                  [&unheard](const auto& each) { return each.second == unheard.mapped(); });
  if (!zone_open)
    release_accounted("workers were heard", now);
}

// Tasks that may run on no worker that is still to be heard.
void takeover_accounting::release_accounted(const char* why, time_point now)
{
  std::set<task_ref> held;
  for (const auto& [id, tasks] : m_listed)
    held.insert(tasks.begin(), tasks.end());
  std::size_t released = 0;
  // A job may end by what is released.
  const std::set<std::string> open = m_state.open;
  for (const std::string& id : open)
    released += release_tasks(*m_state.jobs.at(id), held, now);
  m_under_way = !m_listed.empty() || !m_unheard.empty();
  m_state.place_again = true;
  common::log_process(
      "tasks_accounted",
      {{"why", why}, {"released", released}, {"unheard", m_unheard.size()}, {"held", held.size()}});
}

bool takeover_accounting::earlier_start_possible(const job_record& job,
                                                 const task_place& place) const
{
  if (!m_under_way)
    return false;
  const task_ref task{job.id(), place};
  return blocked(job.cycles()[place.cycle].steps[place.step]) ||
         std::any_of(m_listed.begin(), m_listed.end(),
                     [&task](const auto& each)
                     {
                       const std::vector<task_ref>& tasks = each.second;
                       return std::find(tasks.begin(), tasks.end(), task) != tasks.end();
                     });
}

std::vector<worker_id> takeover_accounting::unheard_workers_of(const job_record& job,
                                                               const task_place& place) const
{
  std::vector<worker_id> holders;
  const step_record& step = job.cycles()[place.cycle].steps[place.step];
  for (const auto& [id, zone] : m_unheard)
  {
    if (may_run_in(step, zone))
      holders.push_back(id);
  }
  const task_ref task{job.id(), place};
  for (const auto& [id, tasks] : m_listed)
  {
    if (std::find(tasks.begin(), tasks.end(), task) != tasks.end())
      holders.push_back(id);
  }
  return holders;
}

bool takeover_accounting::awaits_report_of(const worker_id& id) const
{
  return m_under_way && (m_unheard.contains(id) || m_listed.contains(id));
}

// For each task of a worker that does not answer: why it waits, and how long at most.
void takeover_accounting::log_held_tasks(const worker_record& worker, time_point now) const
{
  const auto listed = m_listed.find(worker.info.id);
  if (!m_under_way || listed == m_listed.end())
    return;
  for (const task_ref& task : listed->second)
    common::log_request("task_held", task.job,
                        {{"step", task.place.step},
                         {"task", task.place.index},
                         {"worker", worker.info.id.value},
                         {"end_stated", worker.end_stated()},
                         {"lease_left_ms", worker.lease_end - now}});
}

crash_watch::earlier_worker takeover_accounting::fate_of(const std::string& worker) const
{
  const auto found = m_lost_workers.find(worker_id(worker));
  return found == m_lost_workers.end() ? crash_watch::earlier_worker::heard : found->second;
}

bool takeover_accounting::may_run_in(const step_record& step, const std::string& zone)
{
  return zone.empty() || step.begun.covers(zone);
}

bool takeover_accounting::blocked(const step_record& step) const
{
  return std::any_of(m_unheard.begin(), m_unheard.end(),
                     [&step](const auto& each) { return may_run_in(step, each.second); });
}

std::size_t takeover_accounting::release_tasks(job_record& job, const std::set<task_ref>& held,
                                               time_point now)
{
  std::size_t released = 0;
  for (std::uint32_t c = 0; c < job.cycles().size(); ++c)
  {
    for (std::uint32_t s = 0; s < job.cycles()[c].steps.size(); ++s)
    {
      const step_record& step = job.cycles()[c].steps[s];
      if (blocked(step))
        continue;
      for (std::uint32_t i = 0; i < step.tasks.size(); ++i)
      {
        const task_place place{c, s, i};
        if (step.tasks[i].phase != task_phase::unaccounted || held.contains({job.id(), place}))
          continue;
        job.set_phase(place, task_phase::waiting);
        if (!m_lost_workers.empty())
          m_crashes.may_be_lost(job, place);
        m_crashes.released(job, place, fate_of(job.task(place).crashes.announced_on), now);
        ++released;
      }
    }
  }
  return released;
}
} // namespace yardhill::scheduling
