// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The complete lists of reasons for refusing a request and for retrying an operation. Each reason
// has its own counter. Reason.cpp does not compile if a reason lacks a name.

#include <cstddef>
#include <string_view>

namespace yardhill::common
{
enum class refusal_reason
{
  none,
  malformed_request,
  request_too_large,
  unknown_workload,
  unknown_task,
  zone_not_served,
  never_fits,
  queue_full,
  deadline_too_near,
  deadline_passed,
  quota_exceeded,
  no_owner,
  owner_unreachable,
  records_incomplete,
  store_unavailable,
  instance_stopping,
  cancelled_by_caller,
  start_refused,
  attempts_exhausted,
  run_unclear,
  config_conflict,
  config_invalid,
  key_reused_differently,
  unknown_key,     // the caller's key is not in the configuration in force
  other_workspace, // the job belongs to another workspace than the caller
  count
};

enum class retry_reason
{
  forward_lost,
  forward_not_owner,
  start_refused,
  start_unclear,
  worker_lost,
  worker_leaving, // a run was moved off a draining worker
  attempt_failed,
  preempted,
  store_unavailable,
  store_conflict,
  claim_failed,
  link_reconnect,
  gang_member_lost,
  count
};

inline constexpr std::size_t k_refusal_reasons = static_cast<std::size_t>(refusal_reason::count);
inline constexpr std::size_t k_retry_reasons = static_cast<std::size_t>(retry_reason::count);

// The reason's name as used in answers, logs and metrics.
std::string_view to_text(refusal_reason reason);
std::string_view to_text(retry_reason reason);
// The reason with that name; `none` if the name is unknown, as one from a newer peer may be.
refusal_reason refusal_reason_from(std::string_view name);
} // namespace yardhill::common
