// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Service/EventLoop.h"

#include <utility>

#include "Common/BootClock.h"

namespace yardhill::service
{
namespace
{
// Upper bound of the delay with which a timer is noticed if the core's estimate of the next timer
// is wrong.
constexpr std::chrono::milliseconds k_max_sleep{500};
// Timers that are due within this time of each other are handled in one step.
constexpr std::chrono::milliseconds k_min_sleep{1};
} // namespace

event_loop::event_loop(const instance::instance_identity& identity, const core_options& options,
                       metrics& counts, command_executor execute)
    : m_metrics(counts),
      m_execute(std::move(execute)),
      m_core(identity, options, decision::k_yardhill_policy, counts, now())
{
}

event_loop::~event_loop()
{
  {
    const std::lock_guard lock(m_queue_lock);
    m_stopping = true;
  }
  m_queue_changed.notify_one();
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

void event_loop::deliver(instance::event event)
{
  {
    const std::lock_guard lock(m_queue_lock);
    m_queue.push_back(std::move(event));
  }
  m_queue_changed.notify_one();
}

void event_loop::run()
{
  while (true)
  {
    instance::event next_event = instance::timer_expired{};
    {
      std::unique_lock lock(m_queue_lock);
      if (m_queue.empty() && !m_stopping)
      {
        const time_point timer = look([](const auto& core) { return core.next_timer(); });
        const auto latest = now() + k_max_sleep;
        const auto earliest = now() + k_min_sleep;
        const time_point until = std::clamp(timer, earliest, latest);
        m_queue_changed.wait_for(lock, until - now(),
                                 [this] { return !m_queue.empty() || m_stopping; });
      }
      if (m_stopping)
        return;
      if (!m_queue.empty())
      {
        next_event = std::move(m_queue.front());
        m_queue.pop_front();
      }
    }
    const time_point start_time = now();
    std::vector<instance::command> commands;
    {
      const std::lock_guard lock(m_core_lock);
      commands = m_core.step(next_event, start_time);
    }
    m_metrics.record(timing::decision, now() - start_time);
    m_execute(std::move(commands));
  }
}
} // namespace yardhill::service
