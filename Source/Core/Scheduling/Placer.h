// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Places waiting tasks: in which order steps are served, and on which workers their tasks start.

#include <map>
#include <string>
#include <vector>

#include "Scheduling/AdvicePlanner.h"
#include "Scheduling/CrashWatch.h"
#include "Scheduling/Reservations.h"
#include "Scheduling/SchedulerState.h"

namespace yardhill::scheduling
{
class placer
{
public:
  placer(scheduler_state& state, const zone_chooser& zones, advice_planner& advice,
         reservations& kept, crash_watch& crashes);

  // One pass over all waiting steps; with a survey of what runs, also over tasks that are late.
  void place(time_point now, bool survey);
  // How many waiting steps the latest pass looked at.
  std::size_t steps_examined() const { return m_looked_at; }
  // Where a task would be started now; null if no worker has room and a ticket.
  worker_record* worker_for(job_record& job, const task_place& place, time_point now) const
  {
    return best_worker(job, place, now, trials::kept_apart);
  }

  // Whether suspected tasks and their neighbours are kept apart.
  enum class trials
  {
    kept_apart,
    ignored
  };
  // What keeps a task from being started on a worker: the first of these that applies.
  enum class obstacle
  {
    unusable,   // silent, paused, or its zone is
    other_zone, // than the one that the step is kept in
    unsuitable,
    no_room,
    unfit_for_trial,
    reserved,
    no_ticket,
    none
  };
  obstacle obstacle_at(const worker_record& worker, const job_record& job, const task_place& place,
                       time_point now, trials how) const;

private:
  struct waiting_step
  {
    job_record* job = nullptr;
    std::uint32_t cycle = 0;
    std::uint32_t step = 0;
    job_prospect prospect = job_prospect::in_time;

    // In the order in which steps are served.
    bool before(const waiting_step& other) const;
  };

  // Of one queue, in a pass: how many steps found no room so far.
  using blocked_steps = std::map<std::string, std::size_t>;

  std::vector<waiting_step> in_order(time_point now) const;
  static bool lasts(const waiting_step& each);
  // While starts are paced: what lasts goes first, however few are left, then what has begun.
  static int turn_while_paced(const waiting_step& each);
  // Whether the step is looked at in this pass, after so many of its queue that found no room.
  bool its_turn(const waiting_step& each, const blocked_steps& blocked) const;
  // Places what can be placed of it; whether nothing of it waits any more.
  bool serve(const waiting_step& each, time_point now);
  // Whether a later owner would know that tasks of the step may run on the worker.
  bool may_begin(const waiting_step& each, const worker_record& worker, time_point now);
  // A worker for a member of a gang, which takes room there from now on; null if none is fit.
  run_record* add_member(const waiting_step& each, const task_place& place, run_number number,
                         time_point now);
  void take_back(const std::vector<run_record*>& members);
  // Whether all members may be started, as far as crashes go.
  bool gang_may_start(const std::vector<run_record*>& members);
  // A step whose tasks find no room in its zone, though workers there were permitted, leaves it.
  void leave_small_zone(job_record& job, step_record& step);
  // Asks for advice for the step that has waited longest for its turn, if it is due.
  void advise_in_turn(const std::vector<waiting_step>& steps, time_point now);
  void place_step(const waiting_step& each, time_point now);
  void place_gang(const waiting_step& each, time_point now);
  worker_record* best_worker(job_record& job, const task_place& place, time_point now,
                             trials how) const;
  // A suspected task found no worker: whether it waits for one that is fit for its trial.
  void note_trial_wanted(job_record& job, const task_place& place, time_point now) const;
  bool has_room(const worker_record& worker, const job_record& job, const task_place& place) const;
  double preference(const worker_record& worker, const step_record& step, const task_record& task,
                    time_point now) const;
  void avoid_slow_workers(time_point now);
  // Second runs of speculative tasks that are late where they run.
  void place_copies(time_point now);
  bool deserves_copy(const run_record& run, time_point now) const;
  void start(job_record& job, const task_place& place, run_number number, worker_record& worker,
             time_point now);

  scheduler_state& m_state;
  const zone_chooser& m_zones;
  advice_planner& m_advice;
  reservations& m_reservations;
  crash_watch& m_crashes;
  std::size_t m_passes = 0;
  std::size_t m_looked_at = 0;
};
} // namespace yardhill::scheduling
