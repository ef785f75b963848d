// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Clock and timers of the event loop of a running process.

#include <unordered_map>

#include <boost/asio/io_context.hpp>

#include "Common/Timekeeper.h"
#include "Http/TimerQueue.h"

namespace yardhill::node
{
class asio_timekeeper : public common::timekeeper
{
public:
  explicit asio_timekeeper(boost::asio::io_context& io) : m_queue(io) {}
  // Destroying m_queue destroys its callbacks, and objects that they hold may cancel other entries
  // meanwhile. With no entry left here, cancel() does nothing.
  ~asio_timekeeper() override { m_scheduled.clear(); }
  asio_timekeeper(const asio_timekeeper&) = delete;
  asio_timekeeper& operator=(const asio_timekeeper&) = delete;

  common::time_point now() const override;
  common::wall_clock_time wall() const override;
  entry schedule(common::duration delay, std::function<void()> callback) override;
  void cancel(entry id) override;

private:
  std::unordered_map<entry, http::timer_queue::entry> m_scheduled; // those not called yet
  http::timer_queue m_queue;
  entry m_last_entry = 0;
};
} // namespace yardhill::node
