// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/Admission.h"

namespace yardhill::node
{
std::optional<std::chrono::milliseconds>
excess_wait(const jobs::queue_policy& policy, const jobs::job_spec& spec, const owner_row& owner)
{
  const auto start_wait = owner.start_waits.find(policy.priority);
  if (start_wait == owner.start_waits.end() || spec.repeats > 0 || spec.long_running())
    return std::nullopt;
  const std::chrono::milliseconds latest_start =
      jobs::k_late_factor * jobs::latency_objective(policy, spec.steps) -
      jobs::critical_path_length(spec.steps);
  if (start_wait->second <= latest_start)
    return std::nullopt;
  return start_wait->second - latest_start;
}
} // namespace yardhill::node
