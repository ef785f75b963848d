// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Keeps the tasks of urgent jobs in one availability zone each.
//
// When a zone is cut off, every job waits that has a task there; spread over all workers that is
// nearly every job. A job with time to spare outlasts the cut, so it may use all workers.

#include <string>

#include "Scheduling/SchedulerState.h"

namespace yardhill::scheduling
{
class zone_chooser
{
public:
  explicit zone_chooser(const scheduler_state& state);

  // The zone in which the step's tasks should run: where its job runs already, else where most is
  // free. Empty: any zone, since the job has time, needs several zones, or none has the room.
  std::string choose(const job_record& job, std::uint32_t cycle, std::uint32_t step,
                     time_point now) const;

private:
  bool has_time(const job_record& job, std::uint32_t step, time_point now) const;

  const scheduler_state& m_state;
};
} // namespace yardhill::scheduling
