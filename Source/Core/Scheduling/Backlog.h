// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Measures how far a partition's owner is behind: overdue holds and waiting tasks. Also counts the
// workers whose speed is taken into account.

#include <cstdint>

#include "Scheduling/SchedulerState.h"
#include "Scheduling/WaitReport.h"
#include "Scheduling/WorkerHolder.h"

namespace yardhill::scheduling
{
struct backlog
{
  std::uint64_t holds_overdue = 0; // workers whose hold is overdue
  duration max_hold_overdue{0};    // largest delay of an overdue hold
  std::uint64_t workers_silent = 0;
  std::uint64_t ends_kept = 0;     // ends that their workers must not forget yet
  std::uint64_t tasks_waiting = 0; // tasks of steps that are ready
  // Longest wait of a ready step, counted from when this owner first saw the step wait.
  duration oldest_wait{0};
  std::uint64_t long_running_waiting = 0; // long-running tasks that do not run (see wait_report)
  duration longest_long_running_wait{0};  // longest wait of these tasks
  std::uint64_t worker_speeds_used = 0;   // see worker_speeds; 0 while the workers are alike
};

// Computes the backlog from all workers and steps, and updates waiting_since of each step.
backlog update_backlog(scheduler_state& state, const worker_holder& holder,
                       const wait_report& waits, time_point now);
// Sets the gauges from the backlog. Pass an empty backlog once nothing is owned any more.
void publish(const backlog& shown, common::metrics& metrics);
} // namespace yardhill::scheduling
