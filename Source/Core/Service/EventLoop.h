// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Runs the core of an instance on a separate thread, which handles one event at a time. Due timers
// are handled between events.

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
  using command_executor = std::function<void(std::vector<instance::command>)>;

  // `execute` is called on the thread of the loop with the commands of each step.
  event_loop(const instance::instance_identity& identity, const core_options& options,
             metrics& counts, command_executor execute);
  ~event_loop();

  void start();
  // Queues an event. May be called from any thread.
  void deliver(instance::event event);
  // Calls `look` on the core between two events and returns the result of `look`. May be called
  // from any thread, but not from within `look`.
  template<class look_function>
  auto look(const look_function& look)
  {
    const std::lock_guard lock(m_core_lock);
    return look(m_core);
  }

  // The current time as the core uses it, from the monotonic clock.
  static time_point now();

private:
  void run();

  metrics& m_metrics;
  command_executor m_execute;
  std::mutex m_core_lock;
  instance::instance_core m_core;
  std::mutex m_queue_lock;
  std::condition_variable m_queue_changed;
  std::deque<instance::event> m_queue;
  bool m_stopping = false;
  std::thread m_thread;
};
} // namespace yardhill::service
