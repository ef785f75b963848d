// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// How late the event loop calls what is due, measured at a tick that should come periodically.

#include <deque>

#include "Common/Time.h"

namespace yardhill::node
{
class loop_monitor
{
public:
  // How long a late tick counts as the loop's present state.
  static constexpr std::chrono::seconds k_window{1};

  void ticked(common::time_point due, common::time_point came);

  // The greatest lateness of the ticks within the window before the latest one.
  common::duration lateness() const;
  // Of the latest tick alone.
  common::duration latest() const { return m_latest; }
  // The greatest lateness since the previous call.
  common::duration take_worst();

private:
  struct late_tick
  {
    common::time_point came;
    common::duration lateness;
  };

  std::deque<late_tick> m_window; // lateness falls from front to back
  common::duration m_latest{0};
  common::duration m_worst{0};
};
} // namespace yardhill::node
