// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Callers' requests that reach an instance before its first configuration and the cell's layout do.
//
// The requests wait for both: the configuration comes about 10 ms after the start, 0.25 s when the
// store is slow. After a timeout the waiting requests are processed without them, and later
// requests do not wait any more.

#include <functional>
#include <vector>

#include "Common/Timekeeper.h"

namespace yardhill::node
{
class startup_requests
{
public:
  // Constructed at the start of the instance; the timeout runs from here.
  explicit startup_requests(common::timekeeper& time);

  // Queues `call` until release() or the timeout, whichever is first. Returns false, without
  // queuing `call`, once either has happened.
  bool enqueue(std::function<void()> call);
  void release();

private:
  common::one_shot_timer m_timeout;
  std::vector<std::function<void()>> m_queued;
  bool m_released = false;
};
} // namespace yardhill::node
