// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/StartBudget.h"

#include <algorithm>

#include "Common/EventLog.h"

namespace yardhill::scheduling
{
namespace
{
double seconds_of(duration span)
{
  return std::chrono::duration<double>(span).count();
}
} // namespace

void start_budget::begin_pass(duration lateness, time_point now)
{
  measure(now);
  const duration elapsed = m_latest_pass ? now - *m_latest_pass : duration{0};
  m_latest_pass = now;
  if (lateness >= m_options.late_threshold)
    decrease_rate(now);
  else if (bounded())
    increase_rate(elapsed);
  const double remaining = bounded() ? m_allowed - m_sent : 0.0;
  m_sent = 0.0;
  if (!bounded())
    return;
  const double max_allowed = std::max(1.0, *m_rate * seconds_of(m_options.burst));
  const double min_allowed = -*m_rate * seconds_of(m_options.max_debt);
  m_allowed =
      std::min(max_allowed, std::max(remaining, min_allowed) + *m_rate * seconds_of(elapsed));
}

void start_budget::measure(time_point now)
{
  m_sent_since += m_sent;
  const duration span = now - m_measured_since;
  if (span < m_options.reaction_time)
    return;
  m_achieved_rate = m_sent_since / seconds_of(span);
  m_sent_since = 0.0;
  m_measured_since = now;
}

void start_budget::decrease_rate(time_point now)
{
  if (m_latest_decrease && now - *m_latest_decrease < m_options.reaction_time)
    return;
  m_latest_decrease = now;
  if (bounded())
  {
    m_rate = std::max(m_options.min_rate, m_options.decrease_factor * *m_rate);
    return;
  }
  m_rate = std::max(m_options.initial_rate, m_options.decrease_factor * m_achieved_rate);
  m_allowed = 0.0;
  m_sent = 0.0; // the starts sent before there was a limit are no debt
  common::log_process("starts_paced", {{"paced", true}, {"rate", static_cast<long>(*m_rate)}});
}

void start_budget::increase_rate(duration elapsed)
{
  *m_rate += m_options.increase_per_second * seconds_of(std::min(elapsed, m_options.reaction_time));
  if (*m_rate < m_options.max_rate)
    return;
  m_rate.reset();
  common::log_process("starts_paced", {{"paced", false}});
}
} // namespace yardhill::scheduling
