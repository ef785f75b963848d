// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Ownership/StoreCallPacer.h"

#include <utility>

#include "Common/Backoff.h"
#include "Common/Hash.h"

namespace yardhill::ownership
{
namespace
{
constexpr std::uint32_t k_max_doublings = 10;
constexpr std::uint64_t k_jitter_steps = 1024;
} // namespace

store_call_pacer::store_call_pacer(instance_id self, const ownership_options& options)
    : m_self(std::move(self)), m_options(options)
{
}

void store_call_pacer::succeeded()
{
  m_failures = 0;
  m_down = false;
}

void store_call_pacer::failed(store_status status, time_point now)
{
  ++m_failures;
  const backoff pauses{m_options.store_retry_first, m_options.store_retry_most, k_max_doublings};
  const duration most = pauses.after(m_failures - 1);
  // Jitter over the upper half of the pause, different for each instance, so that the instances do
  // not retry at the same time.
  const std::uint64_t step = stable_hash(m_self.value, m_failures) % k_jitter_steps;
  m_not_before =
      now + most / 2 +
      most / 2 * static_cast<duration::rep>(step) / static_cast<duration::rep>(k_jitter_steps);
  if (status != store_status::limited)
    m_down = true;
}
} // namespace yardhill::ownership
