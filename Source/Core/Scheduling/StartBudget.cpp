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
  const duration passed = m_latest_pass ? now - *m_latest_pass : duration{0};
  m_latest_pass = now;
  if (lateness >= m_options.late)
    decrease(now);
  else if (bounded())
    increase(passed);
  const double left = bounded() ? m_allowed - m_sent : 0.0;
  m_sent = 0.0;
  if (!bounded())
    return;
  const double most = std::max(1.0, *m_rate * seconds_of(m_options.burst));
  const double least = -*m_rate * seconds_of(m_options.longest_debt);
  m_allowed = std::min(most, std::max(left, least) + *m_rate * seconds_of(passed));
}

void start_budget::measure(time_point now)
{
  m_sent_since += m_sent;
  const duration span = now - m_measured_since;
  if (span < m_options.reaction)
    return;
  m_achieved = m_sent_since / seconds_of(span);
  m_sent_since = 0.0;
  m_measured_since = now;
}

void start_budget::decrease(time_point now)
{
  if (m_latest_decrease && now - *m_latest_decrease < m_options.reaction)
    return;
  m_latest_decrease = now;
  if (bounded())
  {
    m_rate = std::max(m_options.least, m_options.decrease * *m_rate);
    return;
  }
  m_rate = std::max(m_options.first, m_options.decrease * m_achieved);
  m_allowed = 0.0;
  m_sent = 0.0; // without a bound
  common::log_process("starts_paced", {{"paced", true}, {"rate", static_cast<long>(*m_rate)}});
}

void start_budget::increase(duration passed)
{
  *m_rate += m_options.increase * seconds_of(std::min(passed, m_options.reaction));
  if (*m_rate < m_options.most)
    return;
  m_rate.reset();
  common::log_process("starts_paced", {{"paced", false}});
}
} // namespace yardhill::scheduling
