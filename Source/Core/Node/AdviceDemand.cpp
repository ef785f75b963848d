// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/AdviceDemand.h"

#include <algorithm>
#include <cmath>

namespace yardhill::node
{
namespace
{
// Calls lose weight with this time constant. A burst of short calls is noticed within half of it,
// and short calls may use all other instances meanwhile.
constexpr std::chrono::duration<double> k_decay_time{2.0};
// Short calls wait for one another briefly if they take this part of the reserved instances' time.
constexpr double k_target_utilization = 0.3;
} // namespace

void advice_demand::add(std::chrono::milliseconds expected, common::time_point now)
{
  if (m_first == common::time_point{})
    m_first = now;
  else
    m_decayed *= std::exp(-(now - m_latest) / k_decay_time);
  m_decayed += expected;
  m_latest = now;
}

double advice_demand::load(common::time_point now) const
{
  return m_decayed * std::exp(-(now - m_latest) / k_decay_time) / k_decay_time;
}

std::size_t advice_demand::reserved(std::size_t instances, double share,
                                    common::time_point now) const
{
  const std::size_t most =
      std::max<std::size_t>(1, static_cast<std::size_t>(static_cast<double>(instances) * share));
  if (m_first == common::time_point{} || now - m_first < 2 * k_decay_time)
    return most;
  const auto needed = static_cast<std::size_t>(std::ceil(load(now) / k_target_utilization)) + 1;
  return std::min(most, needed);
}
} // namespace yardhill::node
