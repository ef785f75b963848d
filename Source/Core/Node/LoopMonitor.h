// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Measures the latency of the event loop: how late a periodic tick is called.

#include <deque>

#include "Common/Time.h"

namespace yardhill::node
{
class loop_monitor
{
public:
  // How long a late tick counts towards lateness().
  static constexpr std::chrono::seconds k_window{1};

  void record_tick(common::time_point due, common::time_point actual);

  // The greatest lateness of the ticks within the window before the latest one.
  common::duration lateness() const;
  // The lateness of the latest tick alone.
  common::duration latest() const { return m_latest; }
  // The greatest lateness since the previous call.
  common::duration take_worst();

private:
  struct late_tick
  {
    common::time_point actual;
    common::duration lateness;
  };

  std::deque<late_tick> m_window; // lateness decreases from front to back
  common::duration m_latest{0};
  common::duration m_worst{0};
};
} // namespace yardhill::node
