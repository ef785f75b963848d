// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Reserves workers for large waiting tasks. Without a reservation, smaller tasks would take all
// capacity that becomes free, however late or unimportant they are, and a task that needs most of a
// worker would never find enough of it.

#include <map>
#include <optional>

#include "Scheduling/SchedulerState.h"

namespace yardhill::scheduling
{
class reservations
{
public:
  explicit reservations(const scheduler_state& state);

  // Removes all reservations. Called at the start of a pass, which then reserves for the waiting
  // steps in the order in which they should start.
  void clear() { m_by_worker.clear(); }
  // Reserves, for each waiting task of the step, the permitted worker that should have free
  // capacity for it first. Only workers of which the task needs a large share, and on which it
  // would still meet the job's objective, are reserved.
  void reserve_for(job_record& job, std::uint32_t cycle, std::uint32_t step, time_point now);
  // Whether a task may start on the worker. It may if the worker is not reserved or is reserved
  // for the task's step, if the task should end before the reserved capacity is expected to be
  // free, or if the worker then has capacity for both tasks.
  bool allows(const worker_record& worker, const job_record& job, const task_place& place,
              time_point now) const;
  // When the capacity should be free on a worker that is reserved for the step; none for other
  // workers.
  std::optional<time_point> expected_free_time(const step_ref& step, const worker_id& worker) const;

private:
  struct reservation
  {
    step_ref step;
    common::resources capacity;
    time_point expected_at;
  };

  bool is_large(const step_record& step, const worker_record& worker) const;
  time_point expected_end(const run_record& run, time_point now) const;
  common::resources free_capacity_at(const worker_record& worker, time_point when,
                                     time_point now) const;
  // When the worker should have that much free capacity; none if it cannot be foreseen.
  std::optional<time_point> expected_free_from(const worker_record& worker,
                                               const common::resources& needed,
                                               time_point now) const;

  const scheduler_state& m_state;
  std::map<worker_id, reservation> m_by_worker;
};
} // namespace yardhill::scheduling
