// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Keeps workers for large tasks that wait: a task that needs most of a worker would otherwise find
// each room that becomes free taken by smaller ones, however late or unimportant those are.

#include <map>
#include <optional>

#include "Scheduling/SchedulerState.h"

namespace yardhill::scheduling
{
class reservations
{
public:
  explicit reservations(const scheduler_state& state);

  // A new pass over all waiting steps begins, in the order in which they should start.
  void clear() { m_kept.clear(); }
  // Keeps for each waiting task of the step the permitted worker that should have the room for it
  // first, if the task is large and would still be in time there.
  void keep_for(job_record& job, std::uint32_t cycle, std::uint32_t step, time_point now);
  // Whether a task of the step may start on the worker: it is not kept for another, or is free
  // again by then, or has room for both.
  bool allows(const worker_record& worker, const job_record& job, const step_record& step,
              time_point now) const;
  // When the room is expected on a worker that is kept for the step; none for other workers.
  std::optional<time_point> expected(const step_ref& step, const worker_id& worker) const;

private:
  struct reservation
  {
    step_ref step;
    common::resources room;
    time_point when;
  };

  bool large(const step_record& step, const worker_record& worker) const;
  time_point expected_end(const run_record& run, time_point now) const;
  common::resources free_at(const worker_record& worker, time_point when, time_point now) const;
  // When the worker should have that room; none if it is not foreseen.
  std::optional<time_point> room_from(const worker_record& worker, const common::resources& room,
                                      time_point now) const;

  const scheduler_state& m_state;
  std::map<worker_id, reservation> m_kept;
};
} // namespace yardhill::scheduling
