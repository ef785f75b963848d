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
                                                    std::function<void()> what)
{
  const entry number = ++m_last;
  auto& timer = m_timers[number];
  timer = std::make_unique<boost::asio::steady_timer>(m_io, delay);
  timer->async_wait(
      [this, number, what = std::move(what)](const boost::system::error_code& cancelled)
      {
        if (cancelled)
          return;
        // It may have been cancelled after it ran out.
        if (m_timers.erase(number) > 0)
          what();
      });
  return number;
}

void asio_timekeeper::cancel(entry which)
{
  m_timers.erase(which);
}
} // namespace yardhill::node
