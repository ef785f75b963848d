// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Model/VirtualTime.h"

#include <algorithm>
#include <utility>

#include "Model/ProcessorModel.h"

namespace yardhill::model
{
common::wall_clock_time virtual_time::wall() const
{
  return common::wall_clock_time(
      std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch()));
}

common::timekeeper::entry virtual_time::schedule(duration delay, std::function<void()> action)
{
  const entry number = ++m_last;
  const time_point when = m_now + std::max(delay, duration{0});
  m_events[{when, number}] = std::move(action);
  m_when[number] = when;
  return number;
}

void virtual_time::cancel(entry which)
{
  const auto found = m_when.find(which);
  if (found == m_when.end())
    return;
  m_events.erase({found->second, which});
  m_when.erase(found);
}

void virtual_time::postpone(entry which, duration by)
{
  const auto found = m_when.find(which);
  if (found == m_when.end())
    return;
  auto event = m_events.extract({found->second, which});
  found->second += by;
  event.key().first = found->second;
  m_events.insert(std::move(event));
}

void virtual_time::run_until(time_point end)
{
  while (!m_events.empty() && m_events.begin()->first.first <= end)
  {
    auto first = m_events.extract(m_events.begin());
    m_now = first.key().first;
    m_when.erase(first.key().second);
    first.mapped()();
  }
  m_now = end;
}

common::timekeeper::entry process_time::schedule(duration delay, std::function<void()> action)
{
  const entry number = ++m_state->last;
  const event_kind kind = delay > duration{0} ? event_kind::timer : event_kind::from_outside;
  m_state->scheduled[number] = m_time.schedule(
      delay, [&time = m_time, process = m_state, number, kind, action = std::move(action)]
      { fire(time, process, number, kind, action); });
  return number;
}

time_point process_time::now() const
{
  return m_state->reads_suspended_clock ? m_time.now() - m_state->suspended : m_time.now();
}

void process_time::freeze_until(time_point end)
{
  m_state->frozen_until = std::max(m_state->frozen_until, end);
  if (m_state->processor)
    m_state->processor->freeze_until(end);
}

void process_time::sends()
{
  if (m_state->processor)
    m_state->processor->sends();
}

void process_time::suspend_until(time_point end)
{
  const time_point from = std::max(m_time.now(), m_state->frozen_until);
  if (end <= from)
    return;
  m_state->suspended += end - from;
  for (const auto& [number, there] : m_state->scheduled)
    m_time.postpone(there, end - from);
  freeze_until(end);
}

void process_time::cancel(entry which)
{
  const auto found = m_state->scheduled.extract(which);
  if (!found.empty())
    m_time.cancel(found.mapped());
}

void process_time::fire(virtual_time& time, const std::shared_ptr<state>& process, entry which,
                        event_kind kind, const std::function<void()>& action)
{
  if (!process->alive)
    return;
  if (time.now() >= process->frozen_until)
  {
    work(process, kind,
         [process, which, action]
         {
           // The action may have been cancelled while it waited for the processor.
           if (process->scheduled.erase(which) > 0)
             action();
         });
    return;
  }
  process->scheduled[which] =
      time.schedule(process->frozen_until - time.now(), [&time, process, which, kind, action]
                    { fire(time, process, which, kind, action); });
}

std::function<void(std::function<void()>)> process_time::gate() const
{
  return [&time = m_time, process = m_state](const std::function<void()>& action)
  { arrive(time, process, action); };
}

void process_time::work(const std::shared_ptr<state>& process, event_kind kind,
                        const std::function<void()>& action)
{
  if (!process->processor)
  {
    action();
    return;
  }
  process->processor->work(kind,
                           [process = std::weak_ptr(process), action]
                           {
                             const auto there = process.lock();
                             if (there && there->alive)
                               action();
                           });
}

void process_time::arrive(virtual_time& time, const std::shared_ptr<state>& process,
                          const std::function<void()>& action)
{
  if (!process->alive)
    return;
  if (time.now() >= process->frozen_until)
  {
    work(process, event_kind::from_outside, action);
    return;
  }
  time.schedule(process->frozen_until - time.now(),
                [&time, process, action] { arrive(time, process, action); });
}
} // namespace yardhill::model
