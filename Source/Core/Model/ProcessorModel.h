// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The processor of one process with one thread: works events off in the order in which they come,
// each for some time, so that a busy process reads answers late and its timers run late.

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>

#include "Model/VirtualTime.h"

namespace yardhill::model
{
// Time on the clock, at the process's share of a core.
struct processor_costs
{
  duration timer{}; // a timer that runs out
  duration event{}; // an answer, a request or a message that comes
  duration call{};  // a call or a message that is sent
};

enum class event_kind
{
  timer,
  from_outside
};

class processor_model
{
public:
  processor_model(virtual_time& time, const processor_costs& costs);

  void work(event_kind kind, std::function<void()> what);
  void freeze_until(time_point end) { m_frozen_until = std::max(m_frozen_until, end); }
  // The event that is worked off sends something.
  void sends() { m_left += m_costs.call; }
  // How late the latest event was begun, and the latest of all.
  duration late() const { return m_late; }
  duration latest() const { return m_latest; }
  // The share of the time since its beginning in which it worked.
  double used() const;

private:
  struct waiting_event
  {
    event_kind kind;
    time_point came;
    std::function<void()> what;
  };

  void work_off();
  void work_off_in(duration time);

  virtual_time& m_time;
  processor_costs m_costs;
  std::deque<waiting_event> m_waiting;
  bool m_busy = false;
  time_point m_frozen_until{};
  time_point m_begin = m_time.now();
  duration m_left{}; // what the present event still costs
  duration m_worked{};
  duration m_late{};
  duration m_latest{};
  std::shared_ptr<int> m_alive = std::make_shared<int>(0); // the clock may outlive the process
};
} // namespace yardhill::model
