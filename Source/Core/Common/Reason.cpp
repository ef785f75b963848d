// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Common/Reason.h"

#include <algorithm>
#include <array>

namespace yardhill::common
{
namespace
{
// std::to_array deduces the length, so a missing name fails the static_assert below.
constexpr auto k_refusal_names = std::to_array<std::string_view>({
    "none",
    "malformed_request",
    "request_too_large",
    "unknown_workload",
    "unknown_task",
    "zone_not_served",
    "never_fits",
    "queue_full",
    "deadline_too_near",
    "deadline_passed",
    "quota_exceeded",
    "no_owner",
    "owner_unreachable",
    "records_incomplete",
    "store_unavailable",
    "instance_stopping",
    "cancelled_by_caller",
    "start_refused",
    "attempts_exhausted",
    "run_unclear",
    "config_conflict",
    "config_invalid",
    "key_reused_differently",
    "unknown_key",
    "other_workspace",
});
static_assert(k_refusal_names.size() == k_refusal_reasons);

constexpr auto k_retry_names = std::to_array<std::string_view>({
    "forward_lost",
    "forward_not_owner",
    "start_refused",
    "start_unclear",
    "worker_lost",
    "worker_leaving",
    "attempt_failed",
    "preempted",
    "store_unavailable",
    "store_conflict",
    "claim_failed",
    "link_reconnect",
    "gang_member_lost",
});
static_assert(k_retry_names.size() == k_retry_reasons);
} // namespace

std::string_view to_text(refusal_reason reason)
{
  return k_refusal_names.at(static_cast<std::size_t>(reason));
}

std::string_view to_text(retry_reason reason)
{
  return k_retry_names.at(static_cast<std::size_t>(reason));
}

refusal_reason refusal_reason_from(std::string_view name)
{
  const auto found = std::ranges::find(k_refusal_names, name);
  if (found == k_refusal_names.end())
    return refusal_reason::none;
  return static_cast<refusal_reason>(found - k_refusal_names.begin());
}
} // namespace yardhill::common
