// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Schedules any number of callbacks on an event loop with a single timer of the loop.
//
// Most callbacks are call timeouts, which are removed before they are due because the reply
// arrived. To save operations on the loop's timer, removing a callback leaves it as it is, and
// adding one changes it only if the new callback is due before the time that the timer is set to.

#include <chrono>
#include <functional>
#include <map>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace yardhill::http
{
class timer_queue
{
public:
  using clock = std::chrono::steady_clock;
  using entry = std::multimap<clock::time_point, std::function<void()>>::iterator;

  explicit timer_queue(boost::asio::io_context& io) : m_state(std::make_shared<state>(io)) {}
  ~timer_queue() { m_state->timers.clear(); }
  timer_queue(const timer_queue&) = delete;
  timer_queue& operator=(const timer_queue&) = delete;

  // Runs `callback` once from the event loop at the time `when`. Callbacks with the same time run
  // in the order in which they were added.
  entry add(clock::time_point when, std::function<void()> callback)
  {
    const entry added = m_state->timers.emplace(when, std::move(callback));
    if (when < m_state->armed_for)
      arm_timer(m_state, when);
    return added;
  }

  // The callback must not have started.
  void remove(entry timer) { m_state->timers.erase(timer); }

private:
  struct state
  {
    explicit state(boost::asio::io_context& io) : timer(io) {}

    boost::asio::steady_timer timer;
    std::multimap<clock::time_point, std::function<void()>> timers;
    clock::time_point armed_for = clock::time_point::max();
  };

  static void arm_timer(const std::shared_ptr<state>& queue, clock::time_point when)
  {
    queue->armed_for = when;
    queue->timer.expires_at(when);
    queue->timer.async_wait(
        [alive = std::weak_ptr<state>(queue), when](const boost::system::error_code& cancelled)
        {
          const std::shared_ptr<state> locked = alive.lock();
          // The timer may have been set anew between its expiry and this handler.
          if (!cancelled && locked && locked->armed_for == when)
            run_due(locked);
        });
  }

  static void run_due(const std::shared_ptr<state>& queue)
  {
    const clock::time_point now = clock::now();
    // Keeps callbacks added inside the loop from setting the timer, which is set after the loop.
    queue->armed_for = clock::time_point::min();
    while (!queue->timers.empty() && queue->timers.begin()->first <= now)
    {
      const auto due = queue->timers.extract(queue->timers.begin());
      due.mapped()();
    }
    queue->armed_for = clock::time_point::max();
    if (!queue->timers.empty())
      arm_timer(queue, queue->timers.begin()->first);
  }

  std::shared_ptr<state> m_state;
};
} // namespace yardhill::http
