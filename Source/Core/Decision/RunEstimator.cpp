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
  history& runs = m_histories[workload];
  runs.latest.at(runs.run_count % k_sample_count) = ran;
  ++runs.run_count;
  std::array<duration, k_sample_count> sorted = runs.latest;
  const std::size_t filled = std::min(runs.run_count, k_sample_count);
  const auto rank = static_cast<std::ptrdiff_t>(k_quantile * static_cast<double>(filled - 1));
  std::nth_element(sorted.begin(), sorted.begin() + rank,
                   sorted.begin() + static_cast<std::ptrdiff_t>(filled));
  runs.high_quantile = sorted.at(static_cast<std::size_t>(rank));
}

duration run_estimator::estimate(const workload_id& workload, duration declared) const
{
  const auto found = m_histories.find(workload);
  if (found == m_histories.end() || found->second.run_count < k_min_samples)
    return declared;
  return found->second.high_quantile;
}
} // namespace yardhill::decision
