// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Places waiting tasks: decides in which order steps are considered and on which workers their
// tasks start.

#include <map>
#include <string>
#include <vector>

#include "Scheduling/AdvicePlanner.h"
#include "Scheduling/CrashWatch.h"
#include "Scheduling/ReservationPlanner.h"
#include "Scheduling/Reservations.h"
#include "Scheduling/SchedulerState.h"
#include "Scheduling/StartRules.h"

namespace yardhill::scheduling
{
class placer
{
public:
  placer(scheduler_state& state, const zone_chooser& zones, advice_planner& advice,
         reservations& reserved, reservation_planner& planner, crash_watch& crashes,
         const start_rules& rules);

  // Makes one pass over the waiting steps. With `survey`, the pass also checks the running tasks:
  // it marks slow workers and starts copies of speculative tasks that are late.
  void place(time_point now, bool survey);
  // Number of waiting steps that the latest pass tried to place.
  std::size_t steps_examined() const { return m_steps_examined; }
  // The worker on which the task would be started now; null if no worker has the free capacity and,
  // where the queue needs one, a ticket.
  worker_record* worker_for(job_record& job, const task_place& place, time_point now) const
  {
    return best_worker(job, place, now, isolation::enforced);
  }

private:
  struct waiting_step
  {
    job_record* job = nullptr;
    std::uint32_t cycle = 0;
    std::uint32_t step = 0;
    job_prospect prospect = job_prospect::in_time;

    // The order in which steps are considered in a pass.
    bool before(const waiting_step& other) const;
  };

  // By queue: the number of steps so far in this pass that were skipped or still have waiting
  // tasks.
  using blocked_steps = std::map<std::string, std::size_t>;

  std::vector<waiting_step> sorted_waiting_steps(time_point now) const;
  std::map<std::string, advice_planner::service_capacity> free_capacity_by_service() const;
  // Whether the workspace's limit leaves no place for the step. Logged when it is first seen.
  static bool waits_for_workspace(const job_record& job, std::uint32_t index, step_record& step);
  static bool is_long_running(const waiting_step& each);
  // Order of steps while starts are paced: long-running steps (0) come first, since the pass goes
  // on with them even when its budget is spent, then jobs that have begun (1), then all others (2).
  static int paced_rank(const waiting_step& each);
  // Whether this pass tries to place the step, given how many steps of its queue were blocked so
  // far.
  bool due_in_this_pass(const waiting_step& each, const blocked_steps& blocked_by_queue) const;
  // Starts as many tasks of the step as possible. If some still wait, reserves workers for them,
  // requests advice and returns false.
  bool place_or_reserve(const waiting_step& each, time_point now);
  // Whether the store has the mark that tasks of the step may run in the worker's zone, from which
  // a later owner knows about them. Requests the mark if there is none yet.
  bool begin_mark_written(const waiting_step& each, const worker_record& worker, time_point now);
  // Whether the task can be started on the worker without exceeding the capacity of an incarnation
  // that has replaced the known one. If that is not known, the worker is asked.
  bool confirm_incarnation(job_record& job, const task_place& place, worker_record& worker,
                           time_point now);
  // Adds a run of a gang member, which takes capacity on its worker from now on. Returns null if no
  // worker can take the member now.
  run_record* add_member(const waiting_step& each, const task_place& place, run_number number,
                         time_point now);
  void remove_members(const std::vector<run_record*>& members);
  // Whether the crash watch allows all members to start. Calls crash_watch::may_start() for every
  // member, which also requests the announcement of a member that needs one.
  bool gang_may_start(const std::vector<run_record*>& members);
  bool incarnations_confirmed(const std::vector<run_record*>& members, time_point now);
  // Whether the task, for which no worker was found, is confined to a zone without a worker that
  // could take it, now or once that is fit for its trial.
  bool zone_too_small(job_record& job, const task_place& place, time_point now) const;
  // Requests that the step may use all zones, because its own zone has no free capacity for it.
  // With advice, only once there was a reply and no request is in flight.
  void widen_small_zone(job_record& job, step_record& step);
  // Requests advice for the step that has waited longest since its last request, or since its job's
  // acceptance, if that time exceeds the configured limit and there is a worker to ask about; one
  // step each for short and long calls.
  void request_overdue_advice(const std::vector<waiting_step>& steps, time_point now);
  void place_step(const waiting_step& each, time_point now);
  void place_gang(const waiting_step& each, time_point now);
  worker_record* best_worker(job_record& job, const task_place& place, time_point now,
                             isolation rule) const;
  // Called when no worker can take a suspected task: keeps a worker free of new starts so that it
  // becomes fit for the task's trial, and records since when the task waits for such a worker.
  void prepare_trial(job_record& job, const task_place& place, time_point now) const;
  double placement_score(const worker_record& worker, const step_record& step,
                         const task_record& task, double speed_preference, time_point now) const;
  // How much a task of the step gains from a fast worker (see worker_speeds); 0 while the speeds of
  // the workers are not used, and for long-running tasks.
  double speed_preference(const job_record& job, const task_place& place, time_point now) const;
  void mark_slow_workers(time_point now);
  // Starts second runs of speculative tasks that are late or run on a silent worker.
  void place_copies(time_point now);
  bool needs_copy(const run_record& run, time_point now) const;
  void start(job_record& job, const task_place& place, run_number number, worker_record& worker,
             time_point now);

  scheduler_state& m_state;
  const zone_chooser& m_zones;
  advice_planner& m_advice;
  reservations& m_reservations;
  reservation_planner& m_reservation_planner;
  crash_watch& m_crashes;
  const start_rules& m_rules;
  bool m_confirmation_awaited = false; // in the latest pass, by a start
  std::size_t m_passes = 0;
  std::size_t m_steps_examined = 0;
};
} // namespace yardhill::scheduling
