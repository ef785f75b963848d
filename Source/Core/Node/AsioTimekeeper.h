// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The time of an event loop.

#include <map>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Common/Timekeeper.h"

namespace yardhill::node
{
class asio_timekeeper : public common::timekeeper
{
public:
  explicit asio_timekeeper(boost::asio::io_context& io) : m_io(io) {}

  common::time_point now() const override;
  common::wall_clock_time wall() const override;
  entry schedule(common::duration delay, std::function<void()> what) override;
  void cancel(entry which) override;

private:
  boost::asio::io_context& m_io;
  std::map<entry, std::unique_ptr<boost::asio::steady_timer>> m_timers;
  entry m_last = 0;
};
} // namespace yardhill::node
