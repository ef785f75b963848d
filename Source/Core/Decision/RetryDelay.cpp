// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Decision/RetryDelay.h"

#include "Common/Backoff.h"
#include "Common/Hash.h"

namespace yardhill::decision
{
namespace
{
constexpr std::uint32_t k_max_doublings = 8;
constexpr std::uint64_t k_jitter_steps = 1000;
} // namespace

duration backoff_after(std::uint32_t failures, const scheduling_options& options)
{
  return backoff{options.retry_first, options.retry_most, k_max_doublings}.after(failures);
}

duration with_jitter(duration delay, const task_id& task, attempt_number attempt)
{
  const std::uint64_t step = stable_hash(task.value, attempt) % k_jitter_steps;
  const double factor =
      0.75 + 0.5 * static_cast<double>(step) / static_cast<double>(k_jitter_steps);
  return duration{static_cast<duration::rep>(static_cast<double>(delay.count()) * factor)};
}
} // namespace yardhill::decision
