// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// What earlier owners may have started, for the one that has taken their partition over: tasks of
// older jobs wait until each worker on which they may run has told what it runs, or whatever
// earlier owners ordered is over.

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

  // A worker that an earlier owner had claimed; told before the accounting begins.
  void expect_worker(const worker_id& id, const worker_claim& claim);
  void begin(time_point now);
  bool under_way() const { return m_under_way; }
  // The worker has told what runs there, or its life has ended.
  void on_worker_reported(const worker_id& id, time_point now);
  // A life that an earlier owner had claimed is known to have ended.
  void life_ended(const worker_id& id, time_point now);
  // What still may have run on workers whose leases are over counts as lost unheard.
  void expire_unheard_workers(time_point now);
  // Whether an earlier owner's start of the task may be on its way to a worker not heard yet.
  bool earlier_start_possible(const job_record& job, const task_place& place) const;
  // The workers on which it may be.
  std::vector<worker_id> unheard_workers_of(const job_record& job, const task_place& place) const;
  // Whether tasks of earlier owners wait for the worker's word.
  bool awaits_report_of(const worker_id& id) const;
  // Logs for each task that waits for the silent worker why it does, and how long at most.
  void log_held_tasks(const worker_record& worker, time_point now) const;

private:
  // Its tasks may have been lost with the worker.
  void note_lost_with(const worker_id& id, time_point now);
  void note_lost_in_zone(job_record& job, const std::string& zone, time_point now);
  void note_lost(job_record& job, const task_place& place, time_point now);
  crash_watch::earlier_worker fate_of(const std::string& worker) const;
  void release_accounted(const char* why, time_point now);
  std::size_t release_tasks(job_record& job, const std::set<task_ref>& held, time_point now);
  // Whether something of the step may run on an unheard worker of that zone.
  static bool may_run_in(const step_record& step, const std::string& zone);
  // Whether something of the step may run on a worker that is still to be heard.
  bool blocked(const step_record& step) const;

  scheduler_state& m_state;
  crash_watch& m_crashes;
  bool m_under_way = false;
  // Workers that earlier owners had claimed, and whose lives have ended, or that were not heard
  // until their leases were over, with all that had been started there.
  std::map<worker_id, crash_watch::earlier_worker> m_lost_workers;
  // Anything of earlier owners that has begun in its zone may run there; zones by worker, empty if
  // not known.
  std::map<worker_id, std::string> m_unheard;
  std::map<worker_id, std::vector<task_ref>> m_listed; // no more than these may
};
} // namespace yardhill::scheduling
