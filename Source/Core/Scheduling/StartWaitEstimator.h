// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// How long new jobs would wait for their first start while the owner's processor is the bound.
//
// Says nothing while workers alone are full: waiting for room is what a queue is for.

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
  // First starts are counted over so long.
  static constexpr std::chrono::seconds k_window{4};
  // Passes have run out of their budget for so long, and later none has for so long.
  static constexpr std::chrono::seconds k_begin{1};
  static constexpr std::chrono::seconds k_end{2};

  // The first task of a job is started.
  void first_start(std::uint32_t priority, time_point now);
  // `short_of_starts`: the pass's budget of starts was spent before all that waits was looked at.
  void pass_ended(bool short_of_starts, time_point now);

  bool overloaded() const { return m_overloaded; }
  // How long a new job of each priority would wait behind the `waiting` ones; empty unless
  // overloaded.
  std::map<std::uint32_t, std::chrono::milliseconds>
  waits(const std::map<std::uint32_t, std::uint64_t>& waiting, time_point now) const;

private:
  void set_overloaded(bool overloaded);

  std::map<std::uint32_t, std::deque<time_point>> m_first_starts; // by priority, in the window
  std::optional<time_point> m_since;                              // the first pass
  std::optional<time_point> m_short_since;
  time_point m_latest_short{};
  bool m_overloaded = false;
};
} // namespace yardhill::scheduling
