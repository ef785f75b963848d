// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Virtual time: actions planned for later, carried out in the order of their times, and in the
// order of planning where the times are the same.

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
  // Not before now.
  void at(time_point when, action what);
  void in(duration delay, action what) { at(m_now + delay, std::move(what)); }
  // How many actions were planned so far.
  std::uint64_t planned() const { return m_planned; }

  // Carries out what is due until `end`, or until `stop` says so. It is `end` afterwards.
  void run(time_point end, const std::function<bool()>& stop);

private:
  struct entry
  {
    time_point when;
    std::uint64_t number;
    action what;

    bool operator>(const entry& other) const;
  };

  time_point m_now{};
  std::uint64_t m_planned = 0;
  std::priority_queue<entry, std::vector<entry>, std::greater<>> m_entries;
};
} // namespace yardhill::replay
