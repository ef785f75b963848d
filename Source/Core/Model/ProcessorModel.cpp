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

void processor_model::work(event_kind kind, std::function<void()> what)
{
  m_waiting.push_back({kind, m_time.now(), std::move(what)});
  if (!m_busy)
    work_off();
}

void processor_model::work_off()
{
  m_busy = !m_waiting.empty();
  if (!m_busy)
    return;
  if (m_time.now() < m_frozen_until)
  {
    work_off_in(m_frozen_until - m_time.now());
    return;
  }
  const waiting_event event = std::move(m_waiting.front());
  m_waiting.pop_front();
  m_late = m_time.now() - event.came;
  m_latest = std::max(m_latest, m_late);
  m_left = event.kind == event_kind::timer ? m_costs.timer : m_costs.event;
  event.what();
  m_worked += m_left;
  work_off_in(m_left);
}

void processor_model::work_off_in(duration time)
{
  m_time.schedule(time,
                  [this, alive = std::weak_ptr(m_alive)]
                  {
                    if (!alive.expired())
                      work_off();
                  });
}

double processor_model::used() const
{
  const std::chrono::duration<double> worked = m_worked;
  const std::chrono::duration<double> passed = m_time.now() - m_begin;
  return passed.count() > 0 ? worked / passed : 0.0;
}
} // namespace yardhill::model
