// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/RetryAfter.h"

#include <algorithm>

#include "Common/Hash.h"

namespace yardhill::node
{
namespace
{
// How long the store is away cannot be known; a second is the least that the header can say.
constexpr std::chrono::seconds k_soonest{1};
constexpr std::uint64_t k_spread_s = 2;
// How fast a backlog is worked off may change, so nobody is sent away for long on that account.
constexpr std::chrono::seconds k_longest_backlog{10};
} // namespace

std::chrono::seconds default_retry_after(std::uint32_t priority, const std::string& id)
{
  if (priority == 0)
    return k_soonest;
  const std::uint64_t later = 1 + common::stable_hash(id) % k_spread_s;
  return k_soonest + std::chrono::seconds(later);
}

std::chrono::seconds retry_after_overload(std::uint32_t priority, const std::string& id,
                                          std::chrono::milliseconds excess)
{
  const auto worked_off =
      std::clamp(std::chrono::ceil<std::chrono::seconds>(excess), k_soonest, k_longest_backlog);
  const auto spread = static_cast<std::uint64_t>(worked_off.count()) + 1;
  const std::chrono::seconds share(common::stable_hash(id) % spread);
  return default_retry_after(priority, id) + worked_off - k_soonest + share;
}
} // namespace yardhill::node
