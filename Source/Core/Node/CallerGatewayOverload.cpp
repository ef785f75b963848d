// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Refuses jobs that the overloaded owner of their home could not start in time.

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
  if (home == nullptr || m_time.now() - home->seen().changed_at > k_owner_row_max_age)
    return false;
  const auto excess = excess_wait(call->route->policy, job.spec, home->seen().row);
  if (!excess)
    return false;
  m_store.refuse(job.id, "its partition is overloaded", deadline,
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
