// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The workers that are reserved for large waiting tasks (see reservation_planner), and when they
// should have free capacity.

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
  // Reserves the worker for a step that should find that much free capacity there at that time.
  void add(const worker_id& worker, const step_ref& step, const common::resources& capacity,
           time_point expected_at);
  bool reserved(const worker_id& worker) const { return m_by_worker.contains(worker); }
  bool any_for(const step_ref& step) const;
  // Whether a task may start on the worker. It may if the worker is not reserved or is reserved
  // for the task's step, if the task should end before the reserved capacity is expected to be
  // free, or if the worker then has capacity for both tasks.
  bool allows(const worker_record& worker, const job_record& job, const task_place& place,
              time_point now) const;
  // When the capacity should be free on a worker that is reserved for the step; none for other
  // workers.
  std::optional<time_point> expected_free_time(const step_ref& step, const worker_id& worker) const;
  // When the worker should have that much free capacity; none if it cannot be foreseen.
  std::optional<time_point> expected_free_from(const worker_record& worker,
                                               const common::resources& needed,
                                               time_point now) const;

private:
  struct reservation
  {
    step_ref step;
    common::resources capacity;
    time_point expected_at;
  };

  time_point expected_end(const run_record& run, time_point now) const;
  common::resources free_capacity_at(const worker_record& worker, time_point when,
                                     time_point now) const;
  const scheduler_state& m_state;
  std::map<worker_id, reservation> m_by_worker;
};
} // namespace yardhill::scheduling
