// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Accounts for the runs of earlier owners after this owner has taken their partition over. Tasks of
// jobs that an earlier owner had accepted wait until each worker on which they may run has reported
// what it runs, or until all leases that earlier owners granted have expired.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "Scheduling/CrashWatch.h"
#include "Scheduling/SchedulerState.h"

namespace yardhill::scheduling
{
class takeover_accounting
{
public:
  takeover_accounting(scheduler_state& state, crash_watch& crashes);

  // Adds a worker that an earlier owner had claimed. Must be called before begin.
  void expect_worker(const worker_id& id, const worker_claim& claim);
  void begin(time_point now);
  bool under_way() const { return m_active; }
  // The worker has reported what it runs, or its incarnation has ended.
  void on_worker_reported(const worker_id& id, time_point now);
  // The incarnation of the worker that an earlier owner had claimed is known to have ended.
  void life_ended(const worker_id& id, time_point now);
  // Stops waiting for workers whose leases have expired. Runs that may have been there count as
  // lost, and how they ended is not known.
  void expire_unheard_workers(time_point now);
  // Whether an earlier owner's start of the task may be in flight to, or running on, a worker that
  // has not been heard yet.
  bool earlier_start_possible(const job_record& job, const task_place& place) const;
  // The workers not heard yet on which an earlier owner's run of the task may be.
  std::vector<worker_id> unheard_workers_of(const job_record& job, const task_place& place) const;
  // Whether tasks of earlier owners wait for the worker's report.
  bool awaits_report_of(const worker_id& id) const;
  // Logs each task that waits for the silent worker because of its closed claim, and how long the
  // task will wait at most.
  void log_held_tasks(const worker_record& worker, time_point now) const;

private:
  // Records the tasks that may have run on the worker as possibly lost with it.
  void record_losses_of(const worker_id& id, time_point now);
  void record_losses_in_zone(job_record& job, const std::string& zone, time_point now);
  void record_possible_loss(job_record& job, const task_place& place, time_point now);
  crash_watch::earlier_worker_status earlier_worker_state(const std::string& worker) const;
  void release_accounted(const char* reason, time_point now);
  std::size_t release_tasks(job_record& job, const std::set<task_ref>& claimed_tasks,
                            time_point now);
  // Whether a task of the step may run on an unheard worker of the zone (empty: not known).
  static bool may_run_in(const step_record& step, const std::string& zone);
  // Whether a task of the step may run on any worker of m_unheard_zones.
  bool blocked(const step_record& step) const;

  scheduler_state& m_state;
  crash_watch& m_crashes;
  bool m_active = false; // whether any worker is still to be heard
  // Workers that may have been lost with runs of earlier owners: their claimed incarnations have
  // ended, or they were not heard before their leases expired.
  std::map<worker_id, crash_watch::earlier_worker_status> m_lost_workers;
  // Unheard workers without a closed claim, with their zones (empty: not known). Any task of a step
  // that earlier owners may have begun in the zone may run there.
  std::map<worker_id, std::string> m_unheard_zones;
  // Unheard workers with a closed claim. No tasks but those of the claim may run there.
  std::map<worker_id, std::vector<task_ref>> m_closed_claim_tasks;
};
} // namespace yardhill::scheduling
