// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Refuses jobs that the owner of their home cannot start before they have lost all their value.

#include "Node/CallerGateway.h"

#include "Common/EventLog.h"
#include "Node/Admission.h"
#include "Node/RetryAfter.h"

namespace yardhill::node
{
bool caller_gateway::refuse_if_overloaded(const std::shared_ptr<caller_call>& call,
                                          const jobs::accepted_job& job,
                                          common::time_point deadline)
{
  const partition_owner* const home = partition(job.home);
  if (home == nullptr)
    return false;
  const observed_owner& owner = home->seen();
  const common::time_point now = m_time.now();
  const std::uint32_t priority = call->route->policy.priority;
  const std::int64_t arrived =
      m_offered.arrived_since(owner.changed_at, job.home, priority, m_instances, now);
  m_offered.record(job.home, priority, required_cpu_millis(job.spec), now);
  const auto excess = excess_wait(call->route->policy, job.spec, owner.row, arrived);
  if (!excess)
    return false;
  if (now - owner.changed_at > k_owner_row_max_age)
  {
    m_metrics.add(common::counter::forecasts_ignored);
    return false;
  }
  const std::string why = "it would start " + std::to_string(excess->count()) +
                          " ms too late to be of any value; the owner predicts a wait of " +
                          std::to_string(owner.row.start_waits.at(priority).count()) +
                          " ms, and jobs for " + std::to_string(arrived) +
                          " thousandths of a core have arrived since";
  m_store.refuse(job.id, why, deadline,
                 [this, call, job, excess](const accept_result& result)
                 {
                   if (result.end != accept_outcome::refused)
                   {
                     on_accepted(call, job, result);
                     return;
                   }
                   refuse(*call,
                          {503, common::refusal_reason::queue_full, result.detail, result.evidence,
                           retry_after_overload(call->route->policy.priority, job.id, *excess)});
                 });
  return true;
}
} // namespace yardhill::node
