// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Common/LogBudget.h"

#include <algorithm>
#include <chrono>

namespace yardhill::common
{
namespace
{
struct group_limits
{
  double lines_per_second; // 0: no rate limit
  double burst;
  std::size_t max_buffered_bytes; // lines are dropped while this many bytes or more are buffered
};

// In the order of log_group.
//
// Decisions: one instance owns all jobs of a cell, and in a burst of 250 jobs a second
// (docs/design/load.md) it logs an end and one or two starts for each, and up to 25 starts for each
// of some 24 steps of rechecks whose tasks start one by one: at most some 1,300 lines a second. A
// burst lasts up to 7 s, in which 1,000 a second and 4,000 more are admitted. Submissions (about
// 400 a second at some 35 instances) add little to that.
//
// Repeating lines: 300 a second with bursts of 1,500 is ten times what a standard day needs.
//
// Buffer, while the reader of the log is slow: repeating lines fill it to a half and decisions to
// seven eighths, so that neither takes the space of the lines that matter more.
constexpr std::array<group_limits, k_log_groups> k_limits{{
    {0.0, 0.0, 256U << 10U},
    {1000.0, 4000.0, 224U << 10U},
    {300.0, 1500.0, 128U << 10U},
    {0.0, 0.0, 128U << 10U},
}};

const group_limits& limits_of(log_group group)
{
  return k_limits.at(static_cast<std::size_t>(group));
}
} // namespace

log_budget::log_budget(time_point now, rates rate) : m_rate_limited(rate == rates::limited)
{
  for (std::size_t i = 0; i < k_log_groups; ++i)
    m_buckets.at(i) = {k_limits.at(i).burst, now};
}

bool log_budget::admit(log_group group, std::size_t buffered, time_point now)
{
  // The buffer is checked first: a line that has no room there must not use up the rate.
  if (buffered < limits_of(group).max_buffered_bytes && take_token(group, now))
    return true;
  count_dropped(group);
  return false;
}

bool log_budget::take_token(log_group group, time_point now)
{
  const group_limits& limits = limits_of(group);
  if (!m_rate_limited || limits.lines_per_second == 0.0)
    return true;
  bucket& own = m_buckets.at(static_cast<std::size_t>(group));
  const double passed = std::chrono::duration<double>(now - own.refilled).count();
  own.refilled = now;
  own.tokens = std::min(limits.burst, own.tokens + passed * limits.lines_per_second);
  if (own.tokens < 1.0)
    return false;
  own.tokens -= 1.0;
  return true;
}

void log_budget::count_dropped(log_group group)
{
  switch (group)
  {
  case log_group::process:
    ++m_dropped.process;
    return;
  case log_group::decisions:
    ++m_dropped.decisions;
    return;
  case log_group::repeating:
  case log_group::limited_by_caller:
    ++m_dropped.repeating;
    return;
  }
}
} // namespace yardhill::common
