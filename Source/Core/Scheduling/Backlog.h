// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// How far a partition's owner is behind: holds that should have been sent, tasks that wait.

#include <cstdint>

#include "Scheduling/SchedulerState.h"
#include "Scheduling/WaitReport.h"
#include "Scheduling/WorkerHolder.h"

namespace yardhill::scheduling
{
struct backlog
{
  std::uint64_t holds_overdue = 0; // workers
  duration hold_overdue{0};        // of the one that has waited longest
  std::uint64_t workers_silent = 0;
  std::uint64_t ends_kept = 0;
  std::uint64_t tasks_waiting = 0;   // of steps that are ready
  duration oldest_wait{0};           // of such a step, since this owner has seen it wait
  std::uint64_t lasting_waiting = 0; // tasks that last and do not run (see wait_report)
  duration lasting_wait{0};          // of the one that has waited longest
};

// Looks at all workers and steps, and notes since when each step waits.
backlog update_backlog(scheduler_state& state, const worker_holder& holder,
                       const wait_report& lasting, time_point now);
// Shows it as gauges; an empty one where nothing is owned any more.
void publish(const backlog& shown, common::metrics& metrics);
} // namespace yardhill::scheduling
