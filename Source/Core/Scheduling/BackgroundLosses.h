// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// How often workers are lost at present for reasons that have nothing to do with suspected tasks.
// Where that is often, the loss of a suspected task's worker says nothing of the task. A worker
// that falls silent just after a start may have been crashed by it, so it is not counted here:
// otherwise several tasks that crash their workers would excuse each other.

#include <map>

#include "Scheduling/SchedulerState.h"

namespace yardhill::scheduling
{
class background_losses
{
public:
  explicit background_losses(const scheduler_state& state) : m_state(state) {}

  // The worker was lost without a suspected task on it.
  void note(const worker_record& worker, time_point now);
  // Whether so many workers besides this one were lost lately, or are silent, that it would likely
  // have been lost with any other task as well.
  bool explain_loss_of(const worker_id& worker, time_point now) const;
  // Whether a task's trial would tell nothing now.
  bool high(time_point now) const { return explain_loss_of({}, now); }

private:
  bool lately_silent(const worker_record& worker, time_point now) const;

  const scheduler_state& m_state;
  std::map<worker_id, time_point> m_lost; // by their latest loss
};
} // namespace yardhill::scheduling
