// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/PartitionLoad.h"

#include <algorithm>

namespace yardhill::scheduling
{
namespace
{
std::int64_t waiting_cpu_of(const job_record& job)
{
  std::int64_t sum = 0;
  for (const cycle_record& cycle : job.cycles())
  {
    for (const step_record& step : cycle.steps)
      sum += static_cast<std::int64_t>(step.waiting) * required_resources(*step.spec).cpu_millis;
  }
  return sum;
}

// Limit on the number of reported labels; further ones are left out. Few different labels are
// expected, because there are few kinds of workers.
constexpr std::size_t k_max_labels = 64;

void add_labels(const worker_info& worker, std::set<std::string>& labels)
{
  for (const std::string& label : worker.labels)
  {
    if (label != worker.rack && labels.size() < k_max_labels)
      labels.insert(label);
  }
}

// Whether tasks may be started on the worker, as far as is known to other instances.
bool is_usable(const worker_record& worker)
{
  return worker.offered() && worker.claimed && !worker.unresponsive;
}

std::int64_t free_cpu_of(const scheduler_state& state)
{
  std::int64_t sum = 0;
  for (const auto& [id, worker] : state.workers)
    sum += is_usable(*worker) ? worker->idle_cpu_millis() : 0;
  return sum;
}

// The entry for the jobs of a queue with this policy.
waiting_work& add_priority(std::map<std::uint32_t, waiting_work>& waiting,
                           const jobs::queue_policy& policy)
{
  const auto [found, added] = waiting.try_emplace(policy.priority);
  waiting_work& work = found->second;
  work.latency_target =
      added ? policy.latency_target : std::min(work.latency_target, policy.latency_target);
  return work;
}

// Adds the tasks of the job that could start now if workers had capacity for them.
void add_waiting_work(std::map<std::uint32_t, waiting_work>& waiting, const job_record& job,
                      jobs::wall_time wall, time_point now)
{
  waiting_work& sum = add_priority(waiting, job.policy());
  for (std::uint32_t c = 0; c < job.cycles().size(); ++c)
  {
    for (std::uint32_t s = 0; s < job.cycles()[c].steps.size(); ++s)
    {
      const step_record& step = job.cycles()[c].steps[s];
      if (step.waiting == 0 || !scheduler_state::ahead_of_new_jobs(job, s, now) ||
          !job.ready(c, s, wall) || !scheduler_state::within_workspace_limit(job, *step.spec))
        continue;
      const core_milliseconds work = step.waiting * work_of_task(*step.spec);
      (job.prospect(s, now) == job_prospect::in_time ? sum.in_time : sum.late) += work;
      sum.cpu_millis +=
          static_cast<std::int64_t>(step.waiting) * required_resources(*step.spec).cpu_millis;
    }
  }
}

// The waits while the owner cannot send starts as fast as workers have free capacity for them.
std::map<std::uint32_t, std::chrono::milliseconds> waits_for_owner(const scheduler_state& state,
                                                                   time_point now)
{
  if (!state.outlook.overloaded())
    return {};
  std::map<std::uint32_t, std::uint64_t> waiting;
  for (const std::string& id : state.open)
  {
    const job_record& job = *state.jobs.at(id);
    // Counts only jobs that a new job has to wait for among the first starts: long-running jobs are
    // started before all others, and jobs that are worth nothing any more after them.
    const bool before_new_job = !job.known_begun() && job.accepted().spec.repeats == 0 &&
                                !job.accepted().spec.long_running() &&
                                job.prospect(0, now) != job_prospect::none;
    waiting[job.policy().priority] += before_new_job ? 1 : 0;
  }
  return state.outlook.estimated_waits(waiting, now);
}
} // namespace

std::uint64_t partition_load::queued_jobs() const
{
  std::uint64_t sum = 0;
  for (const auto& [queue, jobs] : pending)
    sum += jobs;
  return sum;
}

partition_load load_of(const scheduler_state& state)
{
  partition_load load;
  load.open_jobs = state.open.size();
  for (const std::string& id : state.open)
  {
    const job_record& job = *state.jobs.at(id);
    if (!job.known_begun())
      ++load.pending[job.accepted().queue];
    load.waiting_cpu += waiting_cpu_of(job);
  }
  for (const auto& [id, worker] : state.workers)
  {
    if (!is_usable(*worker))
      continue;
    ++load.usable_workers;
    add_labels(worker->info, load.labels);
    load.free_cpu += worker->idle_cpu_millis();
  }
  return load;
}

void update_forecast(scheduler_state& state, time_point now)
{
  if (!state.forecast.due(now))
    return;
  if (!state.may_place(now))
  {
    state.forecast.suspend(now);
    return;
  }
  std::map<std::uint32_t, waiting_work> waiting;
  for (const auto& [queue, policy] : state.policies)
    add_priority(waiting, policy);
  for (const std::string& id : state.open)
    add_waiting_work(waiting, *state.jobs.at(id), state.wall(now), now);
  state.forecast.observe(waiting, free_cpu_of(state), now);
}

std::map<std::uint32_t, std::chrono::milliseconds> start_waits(const scheduler_state& state,
                                                               time_point now)
{
  auto waits = waits_for_owner(state, now);
  for (const auto& [priority, wait] : state.forecast.predicted_waits(now))
    waits[priority] = std::max(waits[priority], wait);
  return waits;
}
} // namespace yardhill::scheduling
