// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// How fast a queue drains, learned from the pace of starts while tasks wait.

#include <cstddef>

#include "Common/Time.h"

namespace yardhill::decision
{
using namespace common;

class drain_rate
{
public:
  // A pass started so many tasks and left so many waiting.
  void passed(std::size_t started, std::size_t waiting, time_point now);
  // How long a task with so many ahead of it waits for its start; 0 while no pace is known.
  duration expected_wait(std::size_t ahead) const;

private:
  double m_start_interval_us = 0; // smoothed
  time_point m_last_start{};      // of those while tasks waited; zero if there was none
};
} // namespace yardhill::decision
