// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Applies the answers of workers to the records of runs: which runs exist, how they ended, and what
// that means for their tasks and jobs.

#include "Scheduling/CopyWatch.h"
#include "Scheduling/CrashWatch.h"
#include "Scheduling/SchedulerState.h"

namespace yardhill::scheduling
{
class run_tracker
{
public:
  run_tracker(scheduler_state& state, crash_watch& crashes, copy_watch& copies);

  void on_start(const start_answer& answer, time_point now);
  void on_stop(const stop_answer& answer, time_point now);
  // Applies the lists in the answer to a hold.
  void on_lists(worker_record& worker, const hold_answer& answer, time_point now);
  // Sends start and stop requests again that have had no answer.
  void resend_requests(time_point now);
  // Ends the job as cancelled and stops its runs.
  void cancel(job_record& job, time_point now);

private:
  void resend_start(run_record& run, time_point now);
  void handle_refused_start(run_record& run, call_end end, time_point now);
  void handle_superseded_start(run_record& run, time_point now);
  void apply_end(worker_record& worker, const listed_end& end, time_point now);
  // Records how long a completed run took, for its queue and its worker.
  void learn_run_time(const run_record& run, time_point now);
  void task_done(job_record& job, const task_place& place, time_point now);
  void task_failed(job_record& job, const listed_end& end, time_point now);
  void update_failure_count(worker_record& worker, const listed_end& end, time_point now);
  void apply_running(worker_record& worker, const listed_run& listed, time_point now);
  void take_over_run(worker_record& worker, job_record& job, const listed_run& listed,
                     time_point now);
  void stop_unwanted_run(worker_record& worker, const listed_run& listed, time_point now);
  void remove_missing_runs(worker_record& worker, const hold_answer& answer, time_point now);
  // Stops the members of the gang that run under this number.
  void stop_gang(job_record& job, const task_place& place, run_number number, time_point now);
  void check_complete(job_record& job, time_point now);

  scheduler_state& m_state;
  crash_watch& m_crashes;
  copy_watch& m_copies;
};
} // namespace yardhill::scheduling
