// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Follows runs from what workers answer: which runs exist, how they ended, what that means for
// their tasks and jobs.

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
  // The lists of an answered hold.
  void on_lists(worker_record& worker, const hold_answer& answer, time_point now);
  // Sends unanswered orders again.
  void resend_requests(time_point now);
  void cancel(job_record& job, time_point now);

private:
  void repeat_start(run_record& run, time_point now);
  void start_refused(run_record& run, call_end end, time_point now);
  void apply_end(worker_record& worker, const listed_end& end, time_point now);
  void task_done(job_record& job, const task_place& place, time_point now);
  void task_failed(job_record& job, const listed_end& end, time_point now);
  void note_failures(worker_record& worker, const listed_end& end, time_point now);
  void apply_running(worker_record& worker, const listed_run& listed, time_point now);
  void take_over_run(worker_record& worker, job_record& job, const listed_run& listed,
                     time_point now);
  void stop_foreign(worker_record& worker, const listed_run& listed, time_point now);
  void drop_missing(worker_record& worker, const hold_answer& answer, time_point now);
  void break_gang(job_record& job, const task_place& place, run_number number, time_point now);
  void check_complete(job_record& job, time_point now);

  scheduler_state& m_state;
  crash_watch& m_crashes;
  copy_watch& m_copies;
};
} // namespace yardhill::scheduling
