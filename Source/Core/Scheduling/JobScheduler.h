// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Schedules the jobs of one partition on its workers, on behalf of the instance that owns the
// partition: takes events and issues commands.
//
// The scheduler has no I/O, no clock and no randomness, so the same events at the same times give
// the same commands.

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Scheduling/AdvicePlanner.h"
#include "Scheduling/Evacuator.h"
#include "Scheduling/PartitionLoad.h"
#include "Scheduling/Placer.h"
#include "Scheduling/Reservations.h"
#include "Scheduling/RunTracker.h"
#include "Scheduling/SchedulerState.h"
#include "Scheduling/WaitReport.h"
#include "Scheduling/WorkerHolder.h"

namespace yardhill::scheduling
{
// Changes to be written to the store. The ends of runs that caused them may be acknowledged to
// their workers only after that.
struct commit_batch
{
  std::map<std::string, std::string> rows; // first row of the progress, by job
  // Continuation rows that have changed, and those that are no longer needed, by key.
  std::map<std::string, std::string> continuations;
  std::set<std::string> removed_continuations;
  // For jobs with continuation rows, before or after this commit: a hash of each row as it is
  // stored then.
  std::map<std::string, std::vector<std::uint64_t>> stored_rows;
  // The highest end whose effect is in the batch, for the given incarnation of the worker.
  struct read_ends
  {
    std::uint64_t incarnation = 0;
    end_number highest = 0;
  };
  std::map<worker_id, read_ends> ends;
  // Claims for workers on which runs may be started once the batch is written, or no longer may. A
  // later owner asks all claimed workers, whether or not they have entries in the store.
  std::map<worker_id, worker_claim> claims;
  // Workers on which no run can be any more, whose claims are removed.
  std::set<worker_id> releases;
  // Whether the batch has everything that there was to write when it was taken.
  bool complete = false;

  // How many entries of the transaction the batch takes.
  std::size_t size() const
  {
    return rows.size() + continuations.size() + removed_continuations.size() + claims.size() +
           releases.size();
  }
  // What the rows take in the call to the store.
  std::size_t bytes() const;
  // How many parts it has that can be written independently of each other.
  std::size_t parts() const { return rows.size() + claims.size() + releases.size(); }
};

class job_scheduler
{
public:
  // Runs are numbered above `first_run`.
  job_scheduler(const scheduler_options& options, run_number first_run, common::metrics& metrics);
  job_scheduler(const job_scheduler&) = delete;
  job_scheduler& operator=(const job_scheduler&) = delete;

  void set_policies(std::map<std::string, jobs::queue_policy> policies);
  // The workspaces of the configuration in force.
  void set_workspaces(const std::map<std::string, jobs::workspace>& workspaces);
  // The time of day at `now`.
  void set_wall_clock(jobs::wall_time wall, time_point now);
  void set_advice_slots(const advice_slots& slots) { m_advice.set_slots(slots); }
  // For calls to workers at present: the time after which one is reported as unanswered, and the
  // time that answers take.
  void set_request_times(duration timeout, duration round_trip);
  // How late the event loop was when it was last measured.
  void set_loop_lateness(duration lateness) { m_loop_lateness = lateness; }
  // Commands may be sent until this time. The latest renewal of the ownership that the store has
  // confirmed was sent at `confirmed`.
  void set_authority(time_point until, time_point confirmed);
  // This owner has a new token, higher than its earlier ones. The first token comes before any
  // command.
  void token_given(fencing_token token);
  // Between these two calls nothing is started and no lease is extended, but holds are still sent.
  void suspend_starts();
  void allow_starts();
  // From now on nothing is started. Leases are still extended, and ends still processed.
  void end_placing();

  // The latest owner ran a version that neither states ends in claims nor removes them again. So
  // the ends that claims state are ignored, and those claims are replaced. Must be called before
  // any claim is restored.
  void ignore_stated_ends();
  // Adds a worker that an earlier owner had claimed.
  void restore_claim(const worker_id& id, const worker_claim& claim, time_point now);
  void worker_entry(const worker_info& info, time_point now);
  // The worker's entry is now invalid, so nothing new is started on the worker until the entry is
  // valid again. Runs on the worker go on, and its claim stays in force.
  void worker_entry_invalid(const worker_id& id);
  void worker_entry_gone(const worker_id& id, time_point now);

  // Adds a job that was accepted under this owner.
  void add_job(const jobs::accepted_job& job, time_point now);
  // Adds a job of an earlier owner with its stored progress.
  void restore_job(const jobs::accepted_job& job, const std::optional<jobs::job_progress>& progress,
                   time_point now);
  // The job had ended under an earlier owner. Its tasks may still be running, and its workspace is
  // charged for those that workers list.
  void restore_ended_job(const jobs::accepted_job& job);
  // After this time, nothing that an earlier owner started can be running on a worker that has not
  // been heard since. Must be called before any worker is added.
  void set_earlier_owners_lease_end(time_point end);
  // The leases that earlier owners granted end sooner than set before.
  void shorten_earlier_owners_leases(time_point end);
  // All jobs of earlier owners and all known workers have been added. The tasks that may have been
  // started wait until every worker on which they may be running is heard.
  void begin_accounting(time_point now);
  void cancel_job(const std::string& id, time_point now);

  void start_answered(const start_answer& answer, time_point now);
  void stop_answered(const stop_answer& answer, time_point now);
  void hold_answered(const hold_answer& answer, time_point now);
  void advice_answered(const advice_answer& answer, time_point now);

  // Returns the changes since the last call, at most `most_rows` rows. The caller writes them and
  // reports the result with commit_done. If there are more jobs to write, the ends have to wait for
  // a later batch.
  commit_batch take_commit(std::size_t most_rows, time_point now);
  void commit_done(const commit_batch& batch, bool written);
  // The store refuses the only part of the batch for good, however often it is written. A job whose
  // progress cannot be stored fails; a worker whose claim cannot be stored gets no more tasks.
  void give_up_part(const commit_batch& batch, time_point now);

  void tick(time_point now);
  std::vector<command> take_commands();
  // The time between two ticks while events arrive.
  duration pass_spacing() const;
  // The number of waiting steps that the latest pass examined.
  std::size_t steps_looked_at() const { return m_placer.steps_examined(); }

  // Whether commands may be sent: no other owner can have taken the partition over long ago.
  bool may_act(time_point now) const { return m_state.may_act(now); }
  // Returns the jobs whose final state has been written since the last call.
  std::vector<std::string> take_ended_jobs() { return std::exchange(m_newly_ended, {}); }
  bool fenced() const { return m_state.fenced; }
  // Whether any changes wait to be written.
  bool has_changes(time_point now) const;
  // Whether the job is in memory.
  bool knows(const std::string& job) const { return m_state.jobs.contains(job); }
  // Also true for jobs that ended under this owner not long ago and are no longer in memory.
  bool knew(const std::string& job) const { return knows(job) || m_dropped_jobs.contains(job); }
  // Whether the job's latest state waits to be written.
  bool has_uncommitted_state(const std::string& job) const { return m_state.dirty.contains(job); }
  // Also known for jobs that ended under this owner not long ago and are no longer in memory; their
  // final state has been written.
  std::optional<jobs::job_state> state_of(const std::string& job) const;
  partition_load load() const { return load_of(m_state); }
  const wait_report& waits() const { return m_waits; }
  std::map<std::uint32_t, milliseconds> start_waits(time_point now) const
  {
    return scheduling::start_waits(m_state, now);
  }

private:
  bool has_uncommitted_ends() const;
  // Adds the job's rows to the batch, unless they make it too large.
  bool add_progress(commit_batch& batch, job_record& job, std::size_t most_rows, time_point now);
  // Whether a closed claim should be stored for the worker. One of very many tasks stays open,
  // since its row would be too long.
  bool closes_claim(const worker_record& worker, time_point now) const;
  // Whether the worker's claim should state by when all runs there will have ended.
  bool wants_stated_end(const worker_record& worker, time_point now) const;
  // Whether another claim than the stored one has to be written.
  bool claim_outdated(const worker_record& worker, time_point now) const;
  // The claim that should be stored for the worker now.
  worker_claim claim_of(const worker_record& worker, time_point now) const;
  // Removes jobs from m_dropped_jobs that were dropped longer than remember_ended ago.
  void drop_old_ended_jobs();
  // Whether tasks of an ended job may be running that have no record here; its workspace is charged
  // for them.
  bool may_run_unrecorded(const job_record& job) const;
  // Drops ended jobs from memory whose final state is written and that have no runs any more.
  void drop_ended_jobs();
  // Charges the workspaces for what earlier owners may have started and this one has no record of.
  void charge_unaccounted_tasks();
  // Charges the task's workspace for a run that this owner has no record of.
  void charge_foreign_run(const task_ref& task);
  void look_ahead(time_point now);
  // Publishes metrics and log lines about waiting tasks, once a second.
  void report_if_due(time_point now);
  // Whether this pass also looks for runs that have become late or silent by the passing of time.
  bool survey_due();
  const jobs::queue_policy& policy_of(const jobs::accepted_job& job) const;
  // Has the store keep what the configuration last said of the job's queue and workspace, if only
  // this owner's memory has it.
  void keep_terms_if_needed(job_record& job);

  scheduler_state m_state;
  crash_watch m_crashes;
  takeover_accounting m_accounting;
  copy_watch m_copies;
  run_tracker m_follower;
  worker_holder m_holder;
  reservations m_reservations;
  start_rules m_rules;
  zone_chooser m_zones;
  reservation_planner m_reservation_planner;
  advice_planner m_advice;
  placer m_placer;
  evacuator m_evacuator;
  wait_report m_waits;
  std::optional<time_point> m_last_report;
  // What the tasks of a job demand, by step, and the account that is charged for them.
  struct charged_job
  {
    workspace_account* account = nullptr;
    std::vector<resources> demands;
  };
  // Jobs that had ended under earlier owners, by id.
  std::map<std::string, charged_job> m_ended_before;
  std::set<std::string> m_configured_queues; // of the configuration in force
  std::set<std::string> m_ending;            // ended jobs that are still in memory
  // For jobs with continuation rows: a hash of each row as it is stored; 0: not known.
  std::map<std::string, std::vector<std::uint64_t>> m_stored_rows;
  // The final states of jobs that ended under this owner and were dropped from memory not long ago.
  std::map<std::string, jobs::job_state> m_dropped_jobs;
  // When each of these was dropped, in order of time.
  std::deque<std::pair<time_point, std::string>> m_drop_times;
  std::vector<std::string> m_newly_ended;
  time_point m_last_tick{};
  duration m_loop_lateness{0};
  unsigned m_passes = 0;
};
} // namespace yardhill::scheduling
