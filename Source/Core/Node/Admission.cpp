// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/Admission.h"

#include "Scheduling/WorkerRecord.h"

namespace yardhill::node
{
namespace
{
// The wait behind the work that `owner` reports and the jobs that have arrived since, which are
// taken to be started at the same rate. That rate is estimated too high rather than too low,
// because the reported demand is that of all priorities.
std::chrono::milliseconds with_arrivals(std::chrono::milliseconds wait, const owner_row& owner,
                                        std::int64_t arrived_cpu_millis)
{
  if (owner.waiting_cpu <= 0)
    return wait;
  const double growth =
      static_cast<double>(arrived_cpu_millis) / static_cast<double>(owner.waiting_cpu);
  return wait + std::chrono::duration_cast<std::chrono::milliseconds>(wait * growth);
}
} // namespace

std::optional<std::chrono::milliseconds> excess_wait(const jobs::queue_policy& policy,
                                                     const jobs::job_spec& spec,
                                                     const owner_row& owner,
                                                     std::int64_t arrived_cpu_millis)
{
  const auto reported = owner.start_waits.find(policy.priority);
  if (reported == owner.start_waits.end() || spec.repeats > 0 || spec.long_running())
    return std::nullopt;
  const std::chrono::milliseconds start_wait =
      with_arrivals(reported->second, owner, arrived_cpu_millis);
  const std::chrono::milliseconds latest_start =
      jobs::k_late_factor * jobs::latency_objective(policy, spec.steps) -
      jobs::critical_path_length(spec.steps);
  if (start_wait <= latest_start)
    return std::nullopt;
  return start_wait - latest_start;
}

std::int64_t required_cpu_millis(const jobs::job_spec& spec)
{
  std::int64_t sum = 0;
  for (const jobs::step_spec& step : spec.steps)
    sum += static_cast<std::int64_t>(step.count) * scheduling::required_resources(step).cpu_millis;
  return sum;
}
} // namespace yardhill::node
