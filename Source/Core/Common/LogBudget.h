// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Decides which lines of the event log are written and which are dropped. Each group of lines about
// requests has a rate limit of its own, so that repeating lines cannot displace the decisions on a
// job on a heavily loaded day.

#include <array>
#include <cstddef>
#include <cstdint>

#include "Common/Time.h"

namespace yardhill::common
{
enum class log_group : std::uint8_t
{
  process,           // about the process itself; no rate limit, since there are few
  decisions,         // what was decided on a request, each once: accepted, refused, started, ended
  repeating,         // what recurs while a request is served: states shown, advice, failed runs
  limited_by_caller, // like repeating, but the calling code limits the rate
};
inline constexpr std::size_t k_log_groups = 4;

struct dropped_lines
{
  std::uint64_t process = 0;
  std::uint64_t decisions = 0;
  std::uint64_t repeating = 0; // and limited_by_caller

  std::uint64_t total() const { return process + decisions + repeating; }
};

class log_budget
{
public:
  enum class rates
  {
    limited,
    unlimited, // the lines are still limited by the buffer
  };

  explicit log_budget(time_point now, rates rate = rates::limited);

  // Whether a line may be written at `now`, while `buffered` bytes wait for the reader of the log.
  // If not, it is counted as dropped. `now` must not decrease.
  bool admit(log_group group, std::size_t buffered, time_point now);
  const dropped_lines& dropped() const { return m_dropped; }

private:
  struct bucket
  {
    double tokens = 0.0;
    time_point refilled{};
  };

  bool take_token(log_group group, time_point now);
  void count_dropped(log_group group);

  bool m_rate_limited;
  std::array<bucket, k_log_groups> m_buckets;
  dropped_lines m_dropped;
};
} // namespace yardhill::common
