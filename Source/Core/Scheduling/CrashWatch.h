// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Finds the tasks that crash the workers on which they start: which runs are blamed for a crash,
// where and how a suspected task is tried again, and when the task is given up with its job.
//
// A crashed worker does not list how its runs ended, so two kinds of lost runs are counted. Blamed
// runs are the ones that had begun last when the worker was last heard; the others had proved to be
// harmless. Unclear runs are announced runs that were not blamed. A run is announced in the job's
// row, together with its worker, if its task has lost a run before, so that the count survives each
// change of the owner.
//
// To tell the task that causes crashes from the tasks beside it, a suspected task is kept apart
// from other suspected ones. From its second counted loss on it is tried where nothing else has
// just begun, and nothing else begins during the trial. A loss among many others counts as chance,
// and the next trial waits until these losses are over.
//
// The verdicts decide which task is the cause of crashes. How often a task is started is bounded by
// its lost starts, whatever their verdicts. So its last trials are decisive: each waits for a
// worker where only this task can be the cause of a loss.

#include <deque>
#include <string_view>

#include "Scheduling/BackgroundLosses.h"
#include "Scheduling/SchedulerState.h"

namespace yardhill::scheduling
{
class crash_watch
{
public:
  explicit crash_watch(scheduler_state& state) : m_state(state), m_background(state) {}

  // The worker's incarnation is known to have ended, and its runs are lost. A planned end does not
  // count as a crash.
  void worker_ended(worker_record& worker, scheduler_state::lost_runs which, const char* why,
                    time_point now);
  // Nothing can run on the worker any more, as its leases have expired. Whether it has crashed is
  // not known.
  void leases_expired(worker_record& worker, const char* why, time_point now);
  // Gives up what an earlier owner had reason to give up, if it was replaced before it could.
  void restored(job_record& job, time_point now);
  // Decides about losses once others that happened at the same time have had time to be noticed.
  void tick(time_point now);
  // It is known how the run ended, or that it never began.
  void run_outcome_known(job_record& job, const task_place& place, run_number run);
  // The worker has listed the run as running.
  void run_still_running(run_record& run, time_point now);
  // What is known of the worker for which an earlier owner had announced a run.
  enum class earlier_worker_status
  {
    heard,  // it has listed its runs, and the announced one is not among them
    ended,  // its incarnation has ended
    unheard // it had not answered when its leases expired
  };
  // Marks that a run of the task may have been lost with its worker. The mark is written before the
  // worker's claim is removed, which is the only other thing that tells a later owner of the loss.
  void mark_possibly_lost(job_record& job, const task_place& place);
  // Marks the same for a run of an earlier owner that need not have been announced. The loss counts
  // as an unexplained one if no run is announced and no loss has been counted.
  void count_unjudged_loss(job_record& job, const task_place& place);
  // A task of an earlier owner waits again, and its announced run, if there is one, has not been
  // listed by any worker. The run counts as lost unless its worker was heard.
  void released(job_record& job, const task_place& place, earlier_worker_status status,
                time_point now);

  // Whether the run may be started on the worker now. The run of a suspected task may start only
  // once its announcement is written, which this call requests. If the task has lost a run before,
  // or another run of it is on a silent worker (`beside_silent`), the run is announced as it
  // starts.
  bool may_start(job_record& job, const task_place& place, run_number run,
                 const worker_record& worker, bool beside_silent);
  // Whether the task's next run waits for its announcement to be written.
  static bool awaits_announcement(const task_record& task);
  // Whether the task may start on the worker at this moment, as far as crashes are concerned.
  bool fit(const worker_record& worker, const task_record& task, time_point now) const;
  // Whether the worker becomes fit for the task if nothing else begins there for a while.
  bool can_become_fit(const worker_record& worker, const task_record& task, time_point now) const;
  // Whether the task may start nowhere for now, because its trial waits until few workers are lost
  // for other reasons, or because the task is about to be given up.
  bool postponed(const task_record& task, time_point now) const;
  // Lets nothing else begin on the worker for a while, so that it becomes fit for the task's trial.
  void keep_for_trial(worker_record& worker, const task_record& task, time_point now) const;
  // Whether a worker is kept for the task's trial. A decisive trial needs a worker that has
  // answered just now, so the kept ones are asked.
  bool keeps_worker_for(const task_record& task, time_point now) const;
  // Whether the task has so few starts left that its next trial has to be a decisive one.
  static bool decisive(const task_record& task);
  // If the run's task is suspected, restricts what else may begin on the worker during its trial.
  void mark_trial(run_record& run, time_point now) const;

private:
  // What the loss of a worker shows about the task of one of its runs.
  enum class verdict
  {
    blamed_alone,
    blamed_with_others,
    unclear,
    unanswered,
    unanswered_alone, // nothing else had begun on the worker recently
    by_chance
  };

  // A run that was lost with its worker. It has no verdict if it had proved to be harmless, or if
  // it is not known whether the worker crashed.
  struct lost_run
  {
    std::string job;
    task_place place;
    run_number number = 0;
    std::optional<verdict> finding = std::nullopt;
  };

  static std::string_view to_text(verdict finding);
  // Whether the losses, one of them in an isolated trial, prove that the task crashes its workers.
  static bool proven_cause(const jobs::crash_history& crashes);
  // Whether the task was lost with its workers so often that it is not tried again, whatever the
  // cause.
  static bool out_of_tries(const jobs::crash_history& crashes);
  static bool to_be_given_up(const jobs::crash_history& crashes);

  // A loss that was counted against a task and is not decided yet: it may turn out to be one by
  // chance when the losses of other workers at the same time are noticed.
  struct counted_loss
  {
    task_ref task;
    run_number run = 0;
    worker_id worker;
    verdict finding = verdict::unclear;
    bool alone = false; // counted in crash_history::alone
    time_point at;
  };

  void defer_decision(const counted_loss& loss);
  void decide(job_record& job, const counted_loss& loss, time_point now);
  void recount_as_chance(job_record& job, const counted_loss& loss);
  std::vector<lost_run> runs_of(const worker_record& worker) const;
  // Whether a task that was suspected already may have crashed the worker, as it may have been
  // running there.
  bool may_have_run_suspected_task(const worker_record& worker) const;
  // Sets the verdicts on the runs of a worker that has crashed.
  void blame(const worker_record& worker, std::vector<lost_run>& runs, time_point now) const;
  // Counts the lost runs against their tasks. `crashed`: the worker's end was not planned, as far
  // as is known.
  void record_losses(const worker_id& worker, const std::vector<lost_run>& runs, bool crashed,
                     time_point now);
  // Counts a run that was lost with the worker.
  void count_loss(job_record& job, const task_place& place, run_number run, const worker_id& worker,
                  verdict finding, time_point now);
  void give_up(job_record& job, const task_place& place, time_point now);
  // Whether the worker's incarnation is old enough for a trial. Where workers were lost by chance,
  // the loss of a young one is weaker evidence.
  bool stable(const worker_record& worker, time_point now) const;
  // How long the task waits for a worker that is fit for its trial. After that any worker is.
  duration trial_wait_limit(const task_record& task) const;
  bool heard_recently(const worker_record& worker, time_point now) const;
  // How long after its start a suspected run may still crash its worker.
  duration trial_duration(const task_record& task) const;

  scheduler_state& m_state;
  background_losses m_background;
  std::deque<counted_loss> m_undecided; // ordered by time
};
} // namespace yardhill::scheduling
