// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Moves tasks off draining workers, as far as other workers have free capacity for them.
//
// A draining worker goes on running its tasks for a while, then leaves, and all its runs are lost.
// Long-running tasks, and tasks that continue from a checkpoint, lose little by being stopped and
// started on another worker before that.

#include <map>
#include <vector>

#include "Scheduling/AdvicePlanner.h"
#include "Scheduling/Placer.h"
#include "Scheduling/SchedulerState.h"

namespace yardhill::scheduling
{
class evacuator
{
public:
  evacuator(scheduler_state& state, advice_planner& advice, placer& places);

  void tick(time_point now);

private:
  void evacuate(worker_record& worker, time_point now);
  bool worth_moving(const run_record& run, time_point now) const;
  // Whether the step's limit allows no further task to be made unavailable.
  bool too_many_unavailable(const run_record& run) const;

  scheduler_state& m_state;
  advice_planner& m_advice;
  placer& m_placer;
  // Workers to which a task is being moved, with the time by which it should have begun there.
  std::map<worker_id, time_point> m_destinations;
  // Tasks to be moved for which there is no worker yet, collected during a tick.
  std::map<step_ref, std::vector<task_place>> m_without_destination;
};
} // namespace yardhill::scheduling
