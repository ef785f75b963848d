// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Decision/RetryDelay.h"

#include <algorithm>

#include "Common/Hash.h"

namespace yardhill::decision
{
namespace
{
constexpr std::uint32_t k_most_doublings = 8;
constexpr std::uint64_t k_spread_steps = 1000;
} // namespace

duration backoff_after(std::uint32_t failures, const scheduling_options& options)
{
  const std::uint32_t doublings = std::min(failures, k_most_doublings);
  return std::min(options.retry_first * (1U << doublings), options.retry_most);
}

duration spread_out(duration delay, const task_id& task, attempt_number attempt)
{
  const std::uint64_t step = stable_hash(task.value, attempt) % k_spread_steps;
  const double factor =
      0.75 + 0.5 * static_cast<double>(step) / static_cast<double>(k_spread_steps);
  return duration{static_cast<duration::rep>(static_cast<double>(delay.count()) * factor)};
}
} // namespace yardhill::decision
