// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Any number of calls to come on an event loop, over one timer of the loop.
//
// Most are taken back before their time, as the answer that they bound has come. The timer stays
// armed for the earliest one it was told of, so that adding and taking back touch the loop's timers
// only where a call comes before all others.

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
  ~timer_queue() { m_state->calls.clear(); }
  timer_queue(const timer_queue&) = delete;
  timer_queue& operator=(const timer_queue&) = delete;

  // Calls `what` once from the event loop; of one time, in the order in which they were added.
  entry add(clock::time_point when, std::function<void()> what)
  {
    const entry added = m_state->calls.emplace(when, std::move(what));
    if (when < m_state->armed)
      arm(m_state, when);
    return added;
  }

  // Only of a call that has not begun.
  void remove(entry which) { m_state->calls.erase(which); }

private:
  struct state
  {
    explicit state(boost::asio::io_context& io) : timer(io) {}

    boost::asio::steady_timer timer;
    std::multimap<clock::time_point, std::function<void()>> calls;
    clock::time_point armed = clock::time_point::max();
  };

  static void arm(const std::shared_ptr<state>& queue, clock::time_point when)
  {
    queue->armed = when;
    queue->timer.expires_at(when);
    queue->timer.async_wait(
        [alive = std::weak_ptr<state>(queue), when](const boost::system::error_code& cancelled)
        {
          const std::shared_ptr<state> locked = alive.lock();
          // It may have been armed anew after it ran out.
          if (!cancelled && locked && locked->armed == when)
            call_due(locked);
        });
  }

  static void call_due(const std::shared_ptr<state>& queue)
  {
    const clock::time_point now = clock::now();
    // Nothing that is added meanwhile arms the timer.
    queue->armed = clock::time_point::min();
    while (!queue->calls.empty() && queue->calls.begin()->first <= now)
    {
      const auto due = queue->calls.extract(queue->calls.begin());
      due.mapped()();
    }
    queue->armed = clock::time_point::max();
    if (!queue->calls.empty())
      arm(queue, queue->calls.begin()->first);
  }

  std::shared_ptr<state> m_state;
};
} // namespace yardhill::http
