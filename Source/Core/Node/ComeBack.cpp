// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/ComeBack.h"

#include "Common/Hash.h"

namespace yardhill::node
{
namespace
{
// How long the store is away cannot be known; a second is the least that the header can say.
constexpr std::chrono::seconds k_soonest{1};
constexpr std::uint64_t k_spread_s = 2;
} // namespace

std::chrono::seconds come_back_after(std::uint32_t priority, const std::string& id)
{
  if (priority == 0)
    return k_soonest;
  const std::uint64_t later = 1 + common::stable_hash(id) % k_spread_s;
  return k_soonest + std::chrono::seconds(later);
}
} // namespace yardhill::node
