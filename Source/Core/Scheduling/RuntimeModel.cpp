// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/RuntimeModel.h"

#include <cmath>

namespace yardhill::scheduling
{
namespace
{
// Weight of a new sample in the moving averages: about the last twenty tasks determine them, which
// takes a second or two with short tasks.
constexpr double k_sample_weight = 0.05;
// Larger ratios come from slow or paused workers and are limited to this value.
constexpr double k_max_ratio = 4.0;
// Hardly any healthy run lies more than this many mean deviations above the mean (equivalent to 3.5
// standard deviations of a normal distribution).
constexpr double k_deviation_factor = 4.5;
// Covers the start of the task, message latency and the wait for the worker's next update.
constexpr std::chrono::milliseconds k_slack{250};
} // namespace

void runtime_model::learn(const std::string& queue, common::duration estimate,
                          common::duration actual)
{
  if (estimate.count() <= 0)
    return;
  const double sample = std::fmin(k_max_ratio, static_cast<double>(actual.count()) /
                                                   static_cast<double>(estimate.count()));
  ratio& known = m_ratios[queue];
  known.deviation += k_sample_weight * (std::fabs(sample - known.mean) - known.deviation);
  known.mean += k_sample_weight * (sample - known.mean);
}

common::duration runtime_model::expected(const std::string& queue, common::duration estimate) const
{
  const auto found = m_ratios.find(queue);
  const double mean = found == m_ratios.end() ? ratio{}.mean : found->second.mean;
  return std::chrono::duration_cast<common::duration>(estimate * mean);
}

common::duration runtime_model::longest(const std::string& queue, common::duration estimate) const
{
  const auto found = m_ratios.find(queue);
  const ratio known = found == m_ratios.end() ? ratio{} : found->second;
  const double factor = known.mean + k_deviation_factor * known.deviation;
  return std::chrono::duration_cast<common::duration>(estimate * factor) + k_slack;
}
} // namespace yardhill::scheduling
