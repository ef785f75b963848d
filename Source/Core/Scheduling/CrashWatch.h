// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Tasks that crash the workers that start them: which runs are blamed for a crash, where and how a
// suspected task is tried again, and when it is given up with its job.
//
// A crashed worker lists no end of what ran there, so two things are counted. Blamed runs: the ones
// that had begun last when the worker was heard last; others had shown that they do no harm.
// Unclear ones: announced runs that were not blamed. A run is announced in the job's row, with its
// worker, if its task has lost a run before, so that no change of owner loses count.
//
// What tells the guilty from its neighbours: a suspected task is kept apart from others, and from
// its second count on it is tried where nothing else has just begun and nothing else begins. A loss
// among many others counts as chance, and the next trial waits until they are over.
//
// The verdicts tell who is guilty; how often a task is started is bounded by its lost starts,
// whatever their verdicts. So its last tries are decisive: each waits for a worker where only the
// task can be the cause of a loss.

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

  // The worker's life is known to have ended; what ran there is lost with it. A planned end is no
  // crash.
  void worker_ended(worker_record& worker, scheduler_state::lost_runs which, const char* why,
                    time_point now);
  // Nothing can run there any more, as its leases are over; whether it has crashed is not known.
  void leases_over(worker_record& worker, const char* why, time_point now);
  // An earlier owner may have been replaced before it gave up what it had convicted.
  void restored(job_record& job, time_point now);
  // Decides what the losses of a moment ago say.
  void tick(time_point now);
  // How the run ended is known, or that it never began.
  void run_told(job_record& job, const task_place& place, run_number run);
  // The run goes on.
  void run_heard(run_record& run, time_point now);
  // What is known of the worker that an announced run of an earlier owner was meant for.
  enum class earlier_worker_status
  {
    heard, // the run is not there
    ended, // its life is over
    unheard
  };
  // A run of the task may have been lost with its worker. This is written before the worker's claim
  // goes, which is all that tells a later owner of it.
  void mark_possibly_lost(job_record& job, const task_place& place);
  // The same of a run of an earlier owner that need not have been announced.
  void count_unjudged_loss(job_record& job, const task_place& place);
  // An earlier owner's task waits again, and an announced run of it has not been heard of.
  void released(job_record& job, const task_place& place, earlier_worker_status fate,
                time_point now);

  // Whether that run may be started there now: a suspected one only once its announcement is
  // written, which is brought about. One that has lost a run before, or starts beside one on a
  // silent worker, is announced as it starts.
  bool may_start(job_record& job, const task_place& place, run_number run,
                 const worker_record& worker, bool beside_silent);
  // Whether its next run waits for its announcement to be written.
  static bool awaits_announcement(const task_record& task);
  // Whether the task may be tried there at this moment, as far as crashes go.
  bool fit(const worker_record& worker, const task_record& task, time_point now) const;
  // Whether it will be fit if nothing else begins there for a while.
  bool can_become_fit(const worker_record& worker, const task_record& task, time_point now) const;
  // Whether it is started nowhere for now: its trial waits until workers are no longer lost anyway,
  // or it is about to be given up.
  bool postponed(const task_record& task, time_point now) const;
  // Nothing begins on the worker for a while, so that it becomes fit for the task's trial.
  void keep_for_trial(worker_record& worker, const task_record& task, time_point now) const;
  // Whether a worker is kept for its trial. A decisive trial needs one that has answered just now,
  // so it is asked.
  bool keeps_worker_for(const task_record& task, time_point now) const;
  // Whether the task's next trial has to be a decisive one.
  static bool decisive(const task_record& task);
  // What else may begin beside the run, if its task is suspected.
  void mark_trial(run_record& run, time_point now) const;

private:
  // What a loss says of the run's task.
  enum class verdict
  {
    blamed_alone,
    blamed_with_others,
    unclear,
    unanswered,
    unanswered_alone, // nothing else had begun there lately
    by_chance
  };

  // A run that was lost with its worker. Without a verdict it had shown that it does no harm.
  struct lost_run
  {
    std::string job;
    task_place place;
    run_number number = 0;
    std::optional<verdict> how = std::nullopt;
  };

  static std::string_view to_text(verdict how);
  // A trial alone has shown it.
  static bool convicted(const jobs::crash_history& crashes);
  // It is too often lost with its worker, whatever the cause.
  static bool out_of_tries(const jobs::crash_history& crashes);
  static bool to_be_given_up(const jobs::crash_history& crashes);

  // A loss that was counted against a task. Others that fell at the same time may be noticed later.
  struct counted_loss
  {
    task_ref task;
    run_number run = 0;
    worker_id worker;
    verdict how = verdict::unclear;
    bool alone = false;
    time_point at;
  };

  void note_loss(const counted_loss& loss);
  void decide(job_record& job, const counted_loss& loss, time_point now);
  void take_for_chance(job_record& job, const counted_loss& loss);
  std::vector<lost_run> runs_of(const worker_record& worker) const;
  // Whether a task that was suspected already may have crashed it.
  bool ran_suspect(const worker_record& worker) const;
  void blame(const worker_record& worker, std::vector<lost_run>& runs, time_point now) const;
  // `crashed`: the worker's end was not planned, as far as is known.
  void take_in(const worker_id& worker, const std::vector<lost_run>& runs, bool crashed,
               time_point now);
  // A run was lost with the worker.
  void count(job_record& job, const task_place& place, run_number run, const worker_id& worker,
             verdict how, time_point now);
  void give_up(job_record& job, const task_place& place, time_point now);
  // Where workers were lost by chance, a young life tells less.
  bool steady(const worker_record& worker, time_point now) const;
  // How long the task waits for a worker that is fit for its trial, before any will do.
  duration patience(const task_record& task) const;
  bool heard_lately(const worker_record& worker, time_point now) const;
  // How long after its start a suspected run may still crash its worker.
  duration trial_time(const task_record& task) const;

  scheduler_state& m_state;
  background_losses m_background;
  std::deque<counted_loss> m_latest; // in the order of their times
};
} // namespace yardhill::scheduling
