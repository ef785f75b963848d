// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Runs the retries of submissions at the times that the submission queue decides.

#include <functional>
#include <map>

#include "Common/Timekeeper.h"
#include "Node/SubmissionQueue.h"

namespace yardhill::node
{
class submission_retries
{
public:
  using ticket = submission_queue::ticket;

  submission_retries(common::timekeeper& time, common::metrics& counts);

  ticket add(std::uint32_t priority);
  // Calls `retry` when the submission is due.
  void wait(ticket which, common::time_point retry_at, common::time_point latest,
            std::function<void()> retry);
  void remove(ticket which, bool stored);

  void store_lost();
  void store_restored(std::size_t instances);
  bool store_failing() const { return m_queue.store_failing(); }
  bool empty() const { return m_queue.empty(); }

private:
  void run_due();
  void restart_timer();

  common::timekeeper& m_time;
  submission_queue m_queue;
  std::map<ticket, std::function<void()>> m_retries;
  common::one_shot_timer m_timer;
};
} // namespace yardhill::node
