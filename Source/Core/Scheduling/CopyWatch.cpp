// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/CopyWatch.h"

#include <algorithm>

#include "Common/EventLog.h"

namespace yardhill::scheduling
{
bool copy_watch::copy_may_begin(const job_record& job, const task_place& place) const
{
  const step_record& step = job.cycles()[place.cycle].steps[place.step];
  if (!step.spec->speculative)
    return false;
  const std::vector<run_record*>& runs = step.tasks[place.index].runs;
  return std::any_of(runs.begin(), runs.end(),
                     [](const run_record* run) { return run->start_unresolved(); }) ||
         m_accounting.earlier_start_possible(job, place);
}

bool copy_watch::any_copy_may_begin(const job_record& job) const
{
  for (std::uint32_t c = 0; c < job.cycles().size(); ++c)
  {
    for (std::uint32_t s = 0; s < job.cycles()[c].steps.size(); ++s)
    {
      const std::size_t tasks = job.cycles()[c].steps[s].tasks.size();
      for (std::uint32_t i = 0; i < tasks; ++i)
      {
        if (copy_may_begin(job, {c, s, i}))
          return true;
      }
    }
  }
  return false;
}

void copy_watch::record_end(worker_record& worker, const listed_end& end, time_point copies_until,
                            time_point now)
{
  const job_record* const job = m_state.find_job(end.task.job);
  const bool finished = end.how == run_outcome::done || end.how == run_outcome::failed;
  const bool final_end = end.how == run_outcome::done || job->ended();
  if (!finished || (copies_until <= now && !(final_end && copy_may_begin(*job, end.task.place))))
    return;
  worker.kept_ends.emplace(end.number, kept_end{end.task, now, copies_until});
  common::log_request("end_kept", job->id(),
                      {{"step", end.task.place.step},
                       {"task", end.task.place.index},
                       {"run", end.run},
                       {"worker", worker.info.id.value}});
}

end_number copy_watch::acknowledgeable(worker_record& worker, time_point now) const
{
  std::erase_if(worker.kept_ends,
                [this, &worker, now](const auto& each)
                {
                  const kept_end& kept = each.second;
                  const job_record* const job = m_state.find_job(kept.task.job);
                  if (now < kept.until && !worker.ends_hidden)
                    return false;
                  if (job != nullptr && copy_may_begin(*job, kept.task.place))
                    return false;
                  common::log_request("end_free", kept.task.job,
                                      {{"step", kept.task.place.step},
                                       {"task", kept.task.place.index},
                                       {"kept_ms", now - kept.since},
                                       {"ends_hidden", worker.ends_hidden}});
                  return true;
                });
  return worker.kept_ends.empty() ? worker.durable
                                  : std::min(worker.durable, worker.kept_ends.begin()->first - 1);
}

void copy_watch::complete(job_record& job, time_point now)
{
  if (any_copy_may_begin(job))
    m_completing.insert(job.id());
  else
    m_state.end_job(job, jobs::job_state::completed, now);
}

void copy_watch::restored(time_point now)
{
  const std::set<std::string> open = m_state.open;
  for (const std::string& id : open)
  {
    job_record& job = *m_state.jobs.at(id);
    if (job.all_done())
      complete(job, now);
  }
}

void copy_watch::tick(time_point now)
{
  for (auto each = m_completing.begin(); each != m_completing.end();)
  {
    job_record* const job = m_state.find_job(*each);
    const bool open = job != nullptr && !job->ended();
    if (open && any_copy_may_begin(*job))
    {
      ++each;
      continue;
    }
    if (open)
      m_state.end_job(*job, jobs::job_state::completed, now);
    each = m_completing.erase(each);
  }
}
} // namespace yardhill::scheduling
