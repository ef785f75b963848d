// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/AsioTimekeeper.h"

#include <utility>

#include "Common/BootClock.h"

namespace yardhill::node
{
common::time_point asio_timekeeper::now() const
{
  return common::boot_time();
}

common::wall_clock_time asio_timekeeper::wall() const
{
  return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

common::timekeeper::entry asio_timekeeper::schedule(common::duration delay,
                                                    std::function<void()> callback)
{
  const entry number = ++m_last_entry;
  m_scheduled[number] = m_queue.add(http::timer_queue::clock::now() + delay,
                                    [this, number, callback = std::move(callback)]
                                    {
                                      m_scheduled.erase(number);
                                      callback();
                                    });
  return number;
}

void asio_timekeeper::cancel(entry id)
{
  const auto found = m_scheduled.find(id);
  if (found == m_scheduled.end())
    return;
  m_queue.remove(found->second);
  m_scheduled.erase(found);
}
} // namespace yardhill::node
