// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Ownership/StorePace.h"

#include <utility>

#include "Common/Backoff.h"
#include "Common/Hash.h"

namespace yardhill::ownership
{
namespace
{
constexpr std::uint32_t k_most_doublings = 10;
constexpr std::uint64_t k_spread_steps = 1024;
} // namespace

store_pace::store_pace(instance_id self, const ownership_options& options)
    : m_self(std::move(self)), m_options(options)
{
}

void store_pace::succeeded()
{
  m_failures = 0;
  m_down = false;
}

void store_pace::failed(store_status status, time_point now)
{
  ++m_failures;
  const backoff pauses{m_options.store_retry_first, m_options.store_retry_most, k_most_doublings};
  const duration most = pauses.after(m_failures - 1);
  // Spread over the upper half, differently for each instance, so that none come back together.
  const std::uint64_t step = stable_hash(m_self.value, m_failures) % k_spread_steps;
  m_not_before =
      now + most / 2 +
      most / 2 * static_cast<duration::rep>(step) / static_cast<duration::rep>(k_spread_steps);
  if (status != store_status::limited)
    m_down = true;
}
} // namespace yardhill::ownership
