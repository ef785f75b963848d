// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Service/EventLoop.h"

#include <utility>

#include "Common/BootClock.h"

namespace yardhill::service
{
namespace
{
// Bounds how late a timer can be noticed when the core's estimate is off.
constexpr std::chrono::milliseconds k_longest_sleep{500};
// Timers closer together than this are served together.
constexpr std::chrono::milliseconds k_shortest_sleep{1};
} // namespace

event_loop::event_loop(const instance::instance_identity& identity, const core_options& options,
                       metrics& counts, carry_out carry)
    : m_metrics(counts),
      m_carry(std::move(carry)),
      m_core(identity, options, decision::k_yardhill_policy, counts, now())
{
}

event_loop::~event_loop()
{
  {
    const std::lock_guard hold(m_queue_lock);
    m_ending = true;
  }
  m_wake.notify_one();
  if (m_thread.joinable())
    m_thread.join();
}

time_point event_loop::now()
{
  return common::boot_time();
}

void event_loop::start()
{
  m_thread = std::thread([this] { run(); });
}

void event_loop::deliver(instance::event what)
{
  {
    const std::lock_guard hold(m_queue_lock);
    m_queue.push_back(std::move(what));
  }
  m_wake.notify_one();
}

void event_loop::run()
{
  while (true)
  {
    instance::event next = instance::timer_expired{};
    {
      std::unique_lock hold(m_queue_lock);
      if (m_queue.empty() && !m_ending)
      {
        const time_point timer = look([](const auto& core) { return core.next_timer(); });
        const auto longest = now() + k_longest_sleep;
        const auto shortest = now() + k_shortest_sleep;
        const time_point until = std::clamp(timer, shortest, longest);
        m_wake.wait_for(hold, until - now(), [this] { return !m_queue.empty() || m_ending; });
      }
      if (m_ending)
        return;
      if (!m_queue.empty())
      {
        next = std::move(m_queue.front());
        m_queue.pop_front();
      }
    }
    const time_point began = now();
    std::vector<instance::command> commands;
    {
      const std::lock_guard hold(m_core_lock);
      commands = m_core.step(next, began);
    }
    m_metrics.record(timing::decision, now() - began);
    m_carry(std::move(commands));
  }
}
} // namespace yardhill::service
