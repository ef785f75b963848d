// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Runs an instance's core on a thread of its own: one event after the other, timers in between.

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "Common/Metrics.h"
#include "Instance/InstanceCore.h"

namespace yardhill::service
{
using namespace common;

class event_loop
{
public:
  using carry_out = std::function<void(std::vector<instance::command>)>;

  // `carry_out` is called on the loop's thread with what each step wants done.
  event_loop(const instance::instance_identity& identity, const core_options& options,
             metrics& counts, carry_out carry);
  ~event_loop();

  void start();
  // From any thread.
  void deliver(instance::event what);
  // Calls `look` on the core between two events and returns what it returns.
  template<class look_function>
  auto look(const look_function& look)
  {
    const std::lock_guard hold(m_core_lock);
    return look(m_core);
  }

  // Time as the core sees it, from the monotonic clock.
  static time_point now();

private:
  void run();

  metrics& m_metrics;
  carry_out m_carry;
  std::mutex m_core_lock;
  instance::instance_core m_core;
  std::mutex m_queue_lock;
  std::condition_variable m_wake;
  std::deque<instance::event> m_queue;
  bool m_ending = false;
  std::thread m_thread;
};
} // namespace yardhill::service
