// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Decides whether a task may start on a worker. The components that select workers for tasks ask
// here: placement, gangs, copies, evacuation, reservations, advice requests, the choice of a zone
// (for the capacity only), and the report of waiting tasks.

#include <array>
#include <optional>
#include <string>
#include <string_view>

#include "Scheduling/CrashWatch.h"
#include "Scheduling/Reservations.h"
#include "Scheduling/SchedulerState.h"

namespace yardhill::scheduling
{
// Whether tasks suspected of crashing workers have to be isolated from other tasks.
enum class isolation
{
  enforced,
  ignored
};

// The reason why a task cannot be started on a worker. The checks are made in the order of the
// enumerators; the first one that fails is returned.
enum class obstacle
{
  not_permitted,   // the queue's policy does not permit the step on the worker
  unusable,        // the worker is silent or paused, or its whole zone is silent
  other_zone,      // the step is restricted to another zone
  unsuitable,      // the worker does not meet the step's requirements (see meets_requirements)
  already_there,   // another run of the task is on the worker
  step_limit,      // the worker has as many tasks of the step as the step allows on one worker
  foreign_runs,    // the worker lists runs that this owner has no record of
  no_room,         // not enough free capacity
  unfit_for_trial, // isolated for another task's trial, or unfit for this task's trial
  reserved,        // the worker is reserved for another step
  no_ticket,       // the queue's policy needs a ticket, and there is no valid one
  none
};

std::string_view to_text(obstacle why);
// Whether the obstacle passes once other tasks on the worker have ended or other steps have
// started.
bool is_temporary(obstacle why);

// Numbers of workers by obstacle.
class obstacle_counts
{
public:
  void add(obstacle why) { ++m_counts.at(static_cast<std::size_t>(why)); }
  std::size_t count(obstacle why) const { return m_counts.at(static_cast<std::size_t>(why)); }
  // For instance "4 step_limit, 190 no_ticket".
  std::string text() const;

private:
  std::array<std::size_t, static_cast<std::size_t>(obstacle::none) + 1> m_counts{};
};

class start_rules
{
public:
  start_rules(const scheduler_state& state, const reservations& reserved,
              const crash_watch& crashes);

  obstacle obstacle_at(const worker_record& worker, const job_record& job, const task_place& place,
                       time_point now, isolation rule) const;
  // Whether there is no obstacle. Faster than obstacle_at where most workers have no free capacity.
  bool may_start(const worker_record& worker, const job_record& job, const task_place& place,
                 time_point now, isolation rule) const;
  // How many tasks of the step the worker could take at once, at most `most`, as far as its free
  // capacity and the step's limit per worker go.
  std::uint32_t tasks_that_fit_now(const worker_record& worker, const job_record& job,
                                   const step_ref& which, std::uint32_t most) const;

  // The ticket to start a task of the step on that worker; null if there is no valid one. An empty
  // string if the queue needs no tickets.
  const std::string* ticket(const job_record& job, const step_record& step, const worker_id& worker,
                            time_point now) const;
  // Whether a start request that is sent now should arrive while the ticket is still valid.
  bool valid_on_arrival(const step_permits::ticket& ticket, time_point now) const;
  // When the worker surely regards that ticket as expired; none if there is no ticket or the queue
  // needs none.
  std::optional<time_point> ticket_expiry(const job_record& job, const step_record& step,
                                          const worker_id& worker) const;

private:
  const scheduler_state& m_state;
  const reservations& m_reservations;
  const crash_watch& m_crashes;
};

// Whether the worker could run a task of the step at all (service, label, capacity, valid claim),
// regardless of its present load.
bool meets_requirements(const worker_record& worker, const job_record& job,
                        const step_record& step);
// Whether an earlier reply said that the queue's policy does not permit the step on the worker.
bool policy_forbids(const step_record& step, const worker_id& worker);
// How many more tasks of the step the worker may get by the step's limit per worker, at most
// `most`.
std::uint32_t left_of_step_limit(const worker_record& worker, const job_record& job,
                                 std::uint32_t cycle, std::uint32_t step, std::uint32_t most);
} // namespace yardhill::scheduling
