// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Moves tasks off workers that are about to leave, as long as other workers have room for them.
//
// A worker that drains serves on for a while, then everything on it dies. Tasks that last, and
// tasks that go on from a checkpoint, lose little by being stopped and started elsewhere before
// that.

#include <map>

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
  bool too_many_away(const run_record& run) const;

  scheduler_state& m_state;
  advice_planner& m_advice;
  placer& m_placer;
  // Workers that a task is about to move to, until it should have arrived there.
  std::map<worker_id, time_point> m_reserved;
};
} // namespace yardhill::scheduling
