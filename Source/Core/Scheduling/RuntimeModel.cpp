// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/RuntimeModel.h"

#include <cmath>

namespace yardhill::scheduling
{
namespace
{
// Weight of a new sample: some twenty tasks, a second or two of short ones, make up the figure.
constexpr double k_weight = 0.05;
// Samples beyond this ratio come from slow or paused workers and are counted as this.
constexpr double k_most_ratio = 4.0;
// So many mean deviations above the mean lie hardly any sound runs (3.5 standard deviations of a
// normal distribution); and the slack covers starting, the way and the wait for news.
constexpr double k_deviations = 4.5;
constexpr std::chrono::milliseconds k_slack{250};
} // namespace

void runtime_model::learn(const std::string& queue, common::duration estimate,
                          common::duration actual)
{
  if (estimate.count() <= 0)
    return;
  const double sample = std::fmin(k_most_ratio, static_cast<double>(actual.count()) /
                                                    static_cast<double>(estimate.count()));
  ratio& known = m_ratios[queue];
  known.deviation += k_weight * (std::fabs(sample - known.mean) - known.deviation);
  known.mean += k_weight * (sample - known.mean);
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
  const double factor = known.mean + k_deviations * known.deviation;
  return std::chrono::duration_cast<common::duration>(estimate * factor) + k_slack;
}
} // namespace yardhill::scheduling
