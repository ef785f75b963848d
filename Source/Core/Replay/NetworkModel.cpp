// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Replay/NetworkModel.h"

namespace yardhill::replay
{
namespace
{
constexpr std::uint64_t k_delay_factor_steps = 1000;
constexpr std::uint64_t k_max_extra_delay_ms = 12000;
} // namespace

bool network_model::is_cut(const std::string& from, const std::string& to) const
{
  return m_cuts.contains({from, to});
}

duration network_model::next_delay(duration usual)
{
  const double factor =
      0.5 + static_cast<double>(m_random() % k_delay_factor_steps) / k_delay_factor_steps;
  duration delay{static_cast<duration::rep>(static_cast<double>(usual.count()) * factor)};
  if (m_late_message_interval > 0 &&
      m_random() % static_cast<std::uint64_t>(m_late_message_interval) == 0)
    delay += std::chrono::milliseconds{m_random() % k_max_extra_delay_ms};
  return delay;
}
} // namespace yardhill::replay
