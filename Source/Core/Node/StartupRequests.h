// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Callers' requests that reach an instance before its first configuration does.
//
// They wait for it: it comes some 10 ms after the start, 0.25 s when the store is slow. Once it is
// late nobody waits for it any more.

#include <functional>
#include <vector>

#include "Common/Timekeeper.h"

namespace yardhill::node
{
class startup_requests
{
public:
  // The instance has just started.
  explicit startup_requests(common::timekeeper& time);

  // Whether `call` is kept, to be made by release() or when the configuration is late; false once
  // either has happened.
  bool hold(std::function<void()> call);
  void release();

private:
  common::one_shot_timer m_patience;
  std::vector<std::function<void()>> m_held;
  bool m_released = false;
};
} // namespace yardhill::node
