// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Estimates how fast a queue drains from the rate of starts while tasks wait.

#include <cstddef>

#include "Common/Time.h"

namespace yardhill::decision
{
using namespace common;

class drain_rate
{
public:
  // Records a placement pass that started `started` tasks and left `waiting` tasks in the queue.
  void record_pass(std::size_t started, std::size_t waiting, time_point now);
  // Returns the expected wait of a task with `ahead` tasks before it; 0 while no rate is known.
  duration expected_wait(std::size_t ahead) const;

private:
  double m_start_interval_us = 0; // exponentially smoothed
  // Time of the last pass that started a task while others waited; zero if there was none since the
  // queue was last empty.
  time_point m_last_start{};
};
} // namespace yardhill::decision
