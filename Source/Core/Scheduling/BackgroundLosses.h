// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The current rate of worker losses that have nothing to do with suspected tasks. While that rate
// is high, the loss of a suspected task's worker is no evidence against the task. A worker that
// falls silent just after a start may have been crashed by the started task, so its loss is not
// counted here: otherwise several tasks that crash their workers would excuse each other.

#include <map>

#include "Scheduling/SchedulerState.h"

namespace yardhill::scheduling
{
class background_losses
{
public:
  explicit background_losses(const scheduler_state& state) : m_state(state) {}

  // Counts the loss of a worker that ran no suspected task.
  void record_loss(const worker_record& worker, time_point now);
  // Whether so many other workers were lost recently, or fell silent recently, that this one would
  // probably have been lost with any other task as well.
  bool explain_loss_of(const worker_id& worker, time_point now) const;
  // Whether the trial of a suspected task would show nothing at present.
  bool high(time_point now) const { return explain_loss_of({}, now); }

private:
  bool recently_silent(const worker_record& worker, time_point now) const;

  const scheduler_state& m_state;
  std::map<worker_id, time_point> m_latest_losses; // when each worker was last lost
};
} // namespace yardhill::scheduling
