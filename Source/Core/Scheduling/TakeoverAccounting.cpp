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
    m_closed_claim_tasks[id] = claim.tasks;
  else
    m_unheard_zones[id] = claim.zone;
}

void takeover_accounting::life_ended(const worker_id& id, time_point now)
{
  m_lost_workers[id] = crash_watch::earlier_worker_status::ended;
  record_losses_of(id, now);
}

// The worker's claim is about to be removed from the store or replaced by one for its next
// incarnation. The possible losses are recorded in the jobs' rows before, since nothing else tells
// a later owner of them.
void takeover_accounting::record_losses_of(const worker_id& id, time_point now)
{
  const auto listed = m_closed_claim_tasks.find(id);
  if (listed != m_closed_claim_tasks.end())
  {
    for (const task_ref& task : listed->second)
    {
      if (job_record* const job = m_state.find_job(task.job))
        record_possible_loss(*job, task.place, now);
    }
    return;
  }
  const auto unheard = m_unheard_zones.find(id);
  if (unheard == m_unheard_zones.end())
    return;
  for (const std::string& job : m_state.open)
    record_losses_in_zone(*m_state.jobs.at(job), unheard->second, now);
}

void takeover_accounting::record_losses_in_zone(job_record& job, const std::string& zone,
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
        record_possible_loss(job, {c, s, i}, now);
    }
  }
}

void takeover_accounting::record_possible_loss(job_record& job, const task_place& place,
                                               time_point now)
{
  if (!job.contains(place) || job.task(place).phase != task_phase::unaccounted)
    return;
  m_crashes.count_unjudged_loss(job, place);
  if (const auto fate = m_lost_workers.find(worker_id(job.task(place).crashes.announced_on));
      fate != m_lost_workers.end())
    m_crashes.released(job, place, fate->second, now);
}

void takeover_accounting::begin(time_point now)
{
  m_active = true;
  for (const auto& [id, worker] : m_state.workers)
  {
    if (!worker->claimed && !worker->claim)
      m_unheard_zones[id] = worker->info.zone;
  }
  for (const auto& [id, tasks] : m_closed_claim_tasks)
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

// Tasks that may have run on workers that were not heard before their leases expired are marked as
// lost, since a later owner may have heard how their runs ended.
void takeover_accounting::expire_unheard_workers(time_point now)
{
  const auto is_expired = [this, now](const auto& each)
  {
    const worker_record* const worker = m_state.find_worker(each.first);
    const bool expired = worker == nullptr || now >= worker->lease_end;
    if (expired &&
        m_lost_workers.emplace(each.first, crash_watch::earlier_worker_status::unheard).second)
      record_losses_of(each.first, now);
    return expired;
  };
  const std::size_t expired_workers =
      std::erase_if(m_unheard_zones, is_expired) + std::erase_if(m_closed_claim_tasks, is_expired);
  if (expired_workers == 0)
    return;
  for (const std::string& id : m_state.open)
    m_state.jobs.at(id)->mark_unaccounted_lost();
  release_accounted("leases of earlier owners have expired", now);
}

void takeover_accounting::on_worker_reported(const worker_id& id, time_point now)
{
  if (m_closed_claim_tasks.erase(id) > 0 && m_active)
    release_accounted("a worker with a closed claim has reported", now);
  const auto unheard = m_unheard_zones.extract(id);
  if (unheard.empty() || !m_active)
    return;
  const bool zone_has_unheard =
      std::any_of(m_unheard_zones.begin(), m_unheard_zones.end(),
                  [&unheard](const auto& each) { return each.second == unheard.mapped(); });
  if (!zone_has_unheard)
    release_accounted("all workers of a zone have reported", now);
}

// Lets tasks wait for placement again that cannot be running on any worker not heard yet.
void takeover_accounting::release_accounted(const char* reason, time_point now)
{
  std::set<task_ref> claimed_tasks;
  for (const auto& [id, tasks] : m_closed_claim_tasks)
    claimed_tasks.insert(tasks.begin(), tasks.end());
  std::size_t released = 0;
  // A copy, since a job may end when its tasks are released.
  const std::set<std::string> open = m_state.open;
  for (const std::string& id : open)
    released += release_tasks(*m_state.jobs.at(id), claimed_tasks, now);
  m_active = !m_closed_claim_tasks.empty() || !m_unheard_zones.empty();
  m_state.place_again = true;
  common::log_process("tasks_accounted", {{"why", reason},
                                          {"released", released},
                                          {"unheard", m_unheard_zones.size()},
                                          {"held", claimed_tasks.size()}});
}

bool takeover_accounting::earlier_start_possible(const job_record& job,
                                                 const task_place& place) const
{
  if (!m_active)
    return false;
  const task_ref task{job.id(), place};
  return blocked(job.cycles()[place.cycle].steps[place.step]) ||
         std::any_of(m_closed_claim_tasks.begin(), m_closed_claim_tasks.end(),
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
  for (const auto& [id, zone] : m_unheard_zones)
  {
    if (may_run_in(step, zone))
      holders.push_back(id);
  }
  const task_ref task{job.id(), place};
  for (const auto& [id, tasks] : m_closed_claim_tasks)
  {
    if (std::find(tasks.begin(), tasks.end(), task) != tasks.end())
      holders.push_back(id);
  }
  return holders;
}

bool takeover_accounting::awaits_report_of(const worker_id& id) const
{
  return m_active && (m_unheard_zones.contains(id) || m_closed_claim_tasks.contains(id));
}

void takeover_accounting::log_held_tasks(const worker_record& worker, time_point now) const
{
  const auto listed = m_closed_claim_tasks.find(worker.info.id);
  if (!m_active || listed == m_closed_claim_tasks.end())
    return;
  for (const task_ref& task : listed->second)
    common::log_request("task_held", task.job,
                        {{"step", task.place.step},
                         {"task", task.place.index},
                         {"worker", worker.info.id.value},
                         {"end_stated", worker.end_stated()},
                         {"lease_left_ms", worker.lease_end - now}});
}

crash_watch::earlier_worker_status
takeover_accounting::earlier_worker_state(const std::string& worker) const
{
  const auto found = m_lost_workers.find(worker_id(worker));
  return found == m_lost_workers.end() ? crash_watch::earlier_worker_status::heard : found->second;
}

bool takeover_accounting::may_run_in(const step_record& step, const std::string& zone)
{
  return zone.empty() || step.begun.covers(zone);
}

bool takeover_accounting::blocked(const step_record& step) const
{
  return std::any_of(m_unheard_zones.begin(), m_unheard_zones.end(),
                     [&step](const auto& each) { return may_run_in(step, each.second); });
}

std::size_t takeover_accounting::release_tasks(job_record& job,
                                               const std::set<task_ref>& claimed_tasks,
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
        if (step.tasks[i].phase != task_phase::unaccounted ||
            claimed_tasks.contains({job.id(), place}))
          continue;
        job.set_phase(place, task_phase::waiting);
        if (!m_lost_workers.empty())
          m_crashes.mark_possibly_lost(job, place);
        m_crashes.released(job, place, earlier_worker_state(job.task(place).crashes.announced_on),
                           now);
        ++released;
      }
    }
  }
  return released;
}
} // namespace yardhill::scheduling
