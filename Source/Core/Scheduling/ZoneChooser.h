// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Chooses the availability zone in which the tasks of an urgent job should run, one zone per job.
//
// While a zone is isolated, every job with a task in that zone waits. If tasks were spread over all
// workers, this would be nearly every job. A job with enough slack can wait for the end of the
// isolation and still be in time, so it may use all workers.

#include <string>

#include "Scheduling/StartRules.h"

namespace yardhill::scheduling
{
class zone_chooser
{
public:
  zone_chooser(const scheduler_state& state, const start_rules& rules);

  // The zone in which the step's tasks should run: the zone in which its cycle already runs, if
  // that has the free capacity, else the zone with most free capacity. Empty if any zone will do:
  // the step is a gang, long-running or fills idle capacity, its job has enough slack, or no zone
  // alone has the capacity.
  std::string choose(const job_record& job, std::uint32_t cycle, std::uint32_t step,
                     time_point now) const;

private:
  bool has_slack(const job_record& job, std::uint32_t step, time_point now) const;

  const scheduler_state& m_state;
  const start_rules& m_rules;
};
} // namespace yardhill::scheduling
