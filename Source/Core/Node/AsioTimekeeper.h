// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The time of an event loop.

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
  // What the calls hold may cancel others while they are destroyed.
  ~asio_timekeeper() override { m_entries.clear(); }
  asio_timekeeper(const asio_timekeeper&) = delete;
  asio_timekeeper& operator=(const asio_timekeeper&) = delete;

  common::time_point now() const override;
  common::wall_clock_time wall() const override;
  entry schedule(common::duration delay, std::function<void()> what) override;
  void cancel(entry which) override;

private:
  std::unordered_map<entry, http::timer_queue::entry> m_entries; // of calls to come
  http::timer_queue m_queue;
  entry m_last = 0;
};
} // namespace yardhill::node
