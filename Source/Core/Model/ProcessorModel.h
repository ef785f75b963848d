// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Model of the processor of a single-threaded process: it processes events in the order of arrival
// and spends time on each, so that a busy process reads answers late and its timers fire late.

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>

#include "Model/VirtualTime.h"

namespace yardhill::model
{
// Elapsed time on the clock, given the process's share of a core.
struct processor_costs
{
  duration timer{}; // a timer that expires
  duration event{}; // an answer, a request or a message that arrives
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

  void work(event_kind kind, std::function<void()> action);
  void freeze_until(time_point end) { m_frozen_until = std::max(m_frozen_until, end); }
  // Adds the cost of a call or message that the present event sends.
  void sends() { m_remaining_cost += m_costs.call; }
  // Delay from the arrival of an event until its processing began: of the last event, and the
  // longest so far.
  duration late() const { return m_last_delay; }
  duration latest() const { return m_longest_delay; }
  // The share of the time since construction in which the processor was busy.
  double used() const;

private:
  struct waiting_event
  {
    event_kind kind;
    time_point arrived;
    std::function<void()> action;
  };

  void process_next();
  void process_next_after(duration time);

  virtual_time& m_time;
  processor_costs m_costs;
  std::deque<waiting_event> m_waiting;
  bool m_busy = false;
  time_point m_frozen_until{};
  time_point m_begin = m_time.now();
  duration m_remaining_cost{}; // remaining cost of the present event
  duration m_busy_time{};
  duration m_last_delay{};
  duration m_longest_delay{};
  // Expires with this object, which the clock may outlive.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};
} // namespace yardhill::model
