// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Estimates how long new jobs would wait for their first start while the owner's processor is the
// bottleneck.
//
// There is no estimate while merely the workers are full, because waiting for free capacity is the
// purpose of a queue.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "Common/Time.h"

namespace yardhill::scheduling
{
using common::duration;
using common::time_point;

class start_wait_estimator
{
public:
  // The rate of first starts is measured over this time.
  static constexpr std::chrono::seconds k_rate_window{4};
  // The owner counts as overloaded once passes have run out of their start budget for the onset
  // time without a break, until no pass has run out of it for the end time.
  static constexpr std::chrono::seconds k_overload_onset{1};
  static constexpr std::chrono::seconds k_overload_end{2};

  // Records that the first task of a job is started.
  void record_first_start(std::uint32_t priority, time_point now);
  // Records the end of a pass. `short_of_starts`: the pass's budget of starts was spent before it
  // had tried all waiting steps.
  void record_pass(bool short_of_starts, time_point now);

  bool overloaded() const { return m_overloaded; }
  // Estimates by priority how long a new job would wait behind the `waiting` jobs (their number by
  // priority). Empty unless overloaded.
  std::map<std::uint32_t, std::chrono::milliseconds>
  estimated_waits(const std::map<std::uint32_t, std::uint64_t>& waiting, time_point now) const;

private:
  void set_overloaded(bool overloaded);

  std::map<std::uint32_t, std::deque<time_point>> m_first_starts; // by priority
  std::optional<time_point> m_first_pass;
  std::optional<time_point> m_budget_short_since;
  time_point m_latest_short_pass{};
  bool m_overloaded = false;
};
} // namespace yardhill::scheduling
