// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Reports why long-running tasks do not run. The reason is found with the same predicates that the
// placer, the takeover accounting and the worker holder use for their decisions.

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Scheduling/CrashWatch.h"
#include "Scheduling/SchedulerState.h"
#include "Scheduling/StartRules.h"
#include "Scheduling/TakeoverAccounting.h"
#include "Scheduling/WorkerHolder.h"

namespace yardhill::scheduling
{
enum class wait_reason
{
  may_not_place,   // the owner may not start any task of the partition now
  unaccounted,     // may run on a worker of an earlier owner that has not answered yet
  run_orphaned,    // the run was sent to an earlier incarnation of the worker
  run_stopping,    // the run is being stopped
  run_silent,      // the run's worker does not answer
  run_unanswered,  // the start request has no reply
  run_unheld,      // the owner's hold to the run's worker is overdue
  renewal,         // a run was lost and its end is unknown: needs a recent ownership renewal
  gang,            // members of an earlier run have not ended
  trial_postponed, // suspected of crashing workers; its next trial is postponed
  announcement,    // the announcement of its trial is not written yet
  workspace_limit, // its workspace uses all that it may
  begin_mark,      // the mark that the step may run in the zone is not written yet
  unplaced,        // no reason found without checking all workers
  no_worker,       // there is no worker, or the policy permits none
  // The remaining reasons say why the task does not start on the worker that passes most of the
  // checks (see obstacle).
  worker_unusable,
  other_zone,
  worker_unsuitable,
  already_there,
  step_limit,
  foreign_runs,
  no_room,
  unfit_for_trial,
  reserved,
  no_ticket,
  turn, // a worker could take the task, which waits for a pass that tries to place it
  count
};

std::string_view to_text(wait_reason reason);

// Why a task waits, with details.
struct task_wait
{
  wait_reason reason = wait_reason::unplaced;
  // The worker that the task waits for or that passes most checks; `workers` is the number of
  // workers in the same state.
  std::string worker;
  std::string zone;
  std::size_t workers = 0;
  duration lease_remaining{0}; // until the end of the worker's lease or the owner's authority
  duration since_heard{0};     // since the last answer of the worker or confirmation by the store
  std::string advice;          // what became of the latest requests for advice
  std::string detail;
};

class wait_report
{
public:
  // Only tasks that have not run for longer than this are reported.
  static constexpr std::chrono::seconds k_report_after{3};
  // The number of tasks reported in detail per update. The others are counted, and reported in
  // later updates in rotation.
  static constexpr std::size_t k_max_reported = 10;

  wait_report(scheduler_state& state, const start_rules& rules, const crash_watch& crashes,
              const takeover_accounting& accounting, const worker_holder& holder);

  // Called once a second.
  void update(time_point now);

  // A task reported by the latest update.
  struct reported_wait
  {
    task_ref task;
    duration waited;
    task_wait wait;
  };
  std::size_t waiting() const { return m_waiting.size(); }
  duration longest() const;
  const std::vector<reported_wait>& reported() const { return m_reported; }

private:
  struct waiting_task
  {
    job_record* job = nullptr;
    task_place place;
    duration waited{0};
  };
  using wait_check = std::optional<task_wait> (wait_report::*)(const waiting_task&,
                                                               time_point) const;

  void find_waiting(job_record& job, std::uint32_t cycle, std::uint32_t step, time_point now);
  bool is_running(const task_record& task, time_point now) const;
  // The reason as far as it is known without checking all workers; else `unplaced`.
  task_wait wait_before_placement(const waiting_task& entry, time_point now) const;
  std::optional<task_wait> placing_disabled(const waiting_task& entry, time_point now) const;
  std::optional<task_wait> unaccounted(const waiting_task& entry, time_point now) const;
  std::optional<task_wait> stalled_run(const waiting_task& entry, time_point now) const;
  std::optional<task_wait> held_back(const waiting_task& entry, time_point now) const;
  wait_reason run_problem(const run_record& run, time_point now) const;
  task_wait placement_wait(const waiting_task& entry, time_point now) const;
  void report(const waiting_task& entry, time_point now);
  void report_summary(time_point now) const;

  static const std::array<wait_check, 4> k_wait_checks;

  scheduler_state& m_state;
  const start_rules& m_rules;
  const crash_watch& m_crashes;
  const takeover_accounting& m_accounting;
  const worker_holder& m_holder;
  std::vector<waiting_task>
      m_waiting; // ordered by task_ref, rotated so that the reported ones come first
  std::vector<reported_wait> m_reported;
  task_ref m_last_reported;
};
} // namespace yardhill::scheduling
