// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Model/ProcessorModel.h"

#include <utility>

namespace yardhill::model
{
processor_model::processor_model(virtual_time& time, const processor_costs& costs)
    : m_time(time), m_costs(costs)
{
}

void processor_model::work(event_kind kind, std::function<void()> action)
{
  m_waiting.push_back({kind, m_time.now(), std::move(action)});
  if (!m_busy)
    process_next();
}

void processor_model::process_next()
{
  m_busy = !m_waiting.empty();
  if (!m_busy)
    return;
  if (m_time.now() < m_frozen_until)
  {
    process_next_after(m_frozen_until - m_time.now());
    return;
  }
  const waiting_event event = std::move(m_waiting.front());
  m_waiting.pop_front();
  m_last_delay = m_time.now() - event.arrived;
  m_longest_delay = std::max(m_longest_delay, m_last_delay);
  m_remaining_cost = event.kind == event_kind::timer ? m_costs.timer : m_costs.event;
  event.action();
  m_busy_time += m_remaining_cost;
  process_next_after(m_remaining_cost);
}

void processor_model::process_next_after(duration time)
{
  m_time.schedule(time,
                  [this, alive = std::weak_ptr(m_alive)]
                  {
                    if (!alive.expired())
                      process_next();
                  });
}

double processor_model::used() const
{
  const std::chrono::duration<double> worked = m_busy_time;
  const std::chrono::duration<double> passed = m_time.now() - m_begin;
  return passed.count() > 0 ? worked / passed : 0.0;
}
} // namespace yardhill::model
