// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Decision/RunEstimator.h"

#include <algorithm>

namespace yardhill::decision
{
namespace
{
constexpr double k_quantile = 0.9;
} // namespace

void run_estimator::observed(const workload_id& workload, duration ran)
{
  if (!m_learn)
    return;
  history& seen = m_histories[workload];
  seen.latest.at(seen.seen % k_remembered) = ran;
  ++seen.seen;
  std::array<duration, k_remembered> sorted = seen.latest;
  const std::size_t filled = std::min(seen.seen, k_remembered);
  const auto rank = static_cast<std::ptrdiff_t>(k_quantile * static_cast<double>(filled - 1));
  std::nth_element(sorted.begin(), sorted.begin() + rank,
                   sorted.begin() + static_cast<std::ptrdiff_t>(filled));
  seen.high = sorted.at(static_cast<std::size_t>(rank));
}

duration run_estimator::estimate(const workload_id& workload, duration declared) const
{
  const auto found = m_histories.find(workload);
  if (found == m_histories.end() || found->second.seen < k_enough)
    return declared;
  return found->second.high;
}
} // namespace yardhill::decision
