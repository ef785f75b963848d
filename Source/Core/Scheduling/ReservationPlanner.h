// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Reserves workers for large waiting tasks. Without a reservation, smaller tasks would take all
// capacity that becomes free, however late or unimportant they are, and a task that needs most of a
// worker would never find enough of it.

#include "Scheduling/Reservations.h"
#include "Scheduling/StartRules.h"

namespace yardhill::scheduling
{
class reservation_planner
{
public:
  reservation_planner(const scheduler_state& state, const start_rules& rules,
                      reservations& reserved);

  // Reserves, for each waiting task of the step, the permitted worker that should have free
  // capacity for it first. Only workers of which the task needs a large share, and on which it
  // would still meet the job's objective, are reserved.
  void reserve_for(job_record& job, std::uint32_t cycle, std::uint32_t step, time_point now);

private:
  // Whether the task lacks nothing on the worker but free capacity and a ticket.
  bool lacks_only_capacity(const worker_record& worker, const job_record& job,
                           const task_place& place, time_point now) const;

  const scheduler_state& m_state;
  const start_rules& m_rules;
  reservations& m_reservations;
};
} // namespace yardhill::scheduling
