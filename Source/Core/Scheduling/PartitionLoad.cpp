// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/PartitionLoad.h"

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
    if (!worker->offered() || !worker->claimed || worker->unresponsive)
      continue;
    ++load.usable_workers;
    add_labels(worker->info, load.labels);
    load.free_cpu += worker->idle_cpu_millis();
  }
  return load;
}

std::map<std::uint32_t, std::chrono::milliseconds> start_waits(const scheduler_state& state,
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
} // namespace yardhill::scheduling
