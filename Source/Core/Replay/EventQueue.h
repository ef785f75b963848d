// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Virtual time: a queue of scheduled actions. Actions run in the order of their times; actions with
// the same time run in the order in which they were scheduled.

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "Common/Time.h"

namespace yardhill::replay
{
using namespace common;

class event_queue
{
public:
  using action = std::function<void()>;

  time_point now() const { return m_now; }
  // Schedules an action. A time in the past is replaced by now().
  void at(time_point when, action callback);
  void in(duration delay, action callback) { at(m_now + delay, std::move(callback)); }
  // The number of actions scheduled so far.
  std::uint64_t scheduled_count() const { return m_scheduled; }

  // Runs the actions that are due up to and including `end`, or until `stop` returns true. In both
  // cases now() is `end` afterwards.
  void run(time_point end, const std::function<bool()>& stop);

private:
  struct entry
  {
    time_point when;
    std::uint64_t number;
    action callback;

    bool operator>(const entry& other) const;
  };

  time_point m_now{};
  std::uint64_t m_scheduled = 0;
  std::priority_queue<entry, std::vector<entry>, std::greater<>> m_entries;
};
} // namespace yardhill::replay
