// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/RetryAfter.h"

#include <algorithm>

#include "Common/Hash.h"

namespace yardhill::node
{
namespace
{
// How long the store will be unavailable cannot be known; 1 s is the smallest value of the header.
constexpr std::chrono::seconds k_min_delay{1};
constexpr std::uint64_t k_spread_s = 2;
// By how much callers of less urgent queues retry after those of the most urgent ones.
constexpr std::chrono::seconds k_less_urgent_delay{1};
// The rate at which a backlog is worked off may change, so a backlog delays no caller for longer.
constexpr std::chrono::seconds k_max_backlog_delay{10};
} // namespace

std::chrono::seconds default_retry_after(std::uint32_t priority, const std::string& id)
{
  if (priority == 0)
    return k_min_delay;
  const std::uint64_t extra = 1 + common::stable_hash(id) % k_spread_s;
  return k_min_delay + std::chrono::seconds(extra);
}

std::chrono::seconds retry_after_overload(std::uint32_t priority, const std::string& id,
                                          std::chrono::milliseconds excess)
{
  const auto worked_off =
      std::clamp(std::chrono::ceil<std::chrono::seconds>(excess), k_min_delay, k_max_backlog_delay);
  const auto spread = static_cast<std::uint64_t>(worked_off.count()) + 1;
  const std::chrono::seconds share(common::stable_hash(id) % spread);
  return worked_off + share + (priority == 0 ? std::chrono::seconds{0} : k_less_urgent_delay);
}
} // namespace yardhill::node
