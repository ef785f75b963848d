// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Observes every run at every worker and every answer to callers, and records violations of the
// platform's invariants.

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Jobs/JobProgress.h"
#include "Jobs/JobSpec.h"
#include "Scheduling/SchedulerMessages.h"

namespace yardhill::model
{
using scheduling::run_number;
using scheduling::run_outcome;
using scheduling::task_ref;

// A run that a worker starts.
struct observed_start
{
  task_ref task;
  run_number run = 0;
  std::string worker;
  std::string payload;
  std::string checkpoint;
  common::time_point at;
  // The start request was carried out late; the platform's limits in time do not apply to it.
  bool late = false;
  // It was, and by an incarnation that had seen no fencing token before.
  bool late_at_new_incarnation = false;
};

// A worker on which tasks can be started.
struct usable_worker
{
  std::string id;
  common::resources capacity;
};

class run_judge
{
public:
  // Whether the store contains a job, whoever wrote it.
  using job_lookup = std::function<bool(const std::string& job)>;

  // Without a lookup, the judge does not check whether refused jobs are stored.
  explicit run_judge(job_lookup is_stored = nullptr) : m_is_stored(std::move(is_stored)) {}

  // The requests of callers and their answers.
  void submitted(const std::string& job, const jobs::job_spec& spec, std::uint32_t max_attempts);
  // The job is of a caller of that workspace.
  void belongs_to(const std::string& job, const std::string& workspace)
  {
    m_jobs[job].workspace = workspace;
  }
  // Whether the policy of the task's queue permits it on a worker. Without a lookup, every worker
  // is permitted.
  using permission_lookup = std::function<bool(const task_ref&, const std::string& worker)>;
  void set_permissions(permission_lookup permitted) { m_permitted = std::move(permitted); }
  // The highest limit of a workspace that may be in force at a time; 0 in a dimension: no limit.
  using limit_lookup = std::function<common::resources(const std::string&, common::time_point)>;
  void set_workspace_limits(limit_lookup limits) { m_workspace_limits = std::move(limits); }
  // A submission of the job, the first one or a retry, is in flight.
  void tried(const std::string& job);
  // Result of the latest submission; status 0 means that there was no answer.
  void answered(const std::string& job, unsigned status);
  void cancel_requested(const std::string& job);
  // The job's tasks must run until the end: nobody cancels the job, and its tasks may run on any
  // worker.
  void expect_to_keep_running(const std::string& job) { m_long_running.insert(job); }
  // The caller received the confirmation of the job's cancellation.
  void cancelled(const std::string& job, common::time_point at);
  void shown(const std::string& job, jobs::job_state state,
             std::optional<common::time_point> at = std::nullopt);

  // Events at workers. After worker_gone() the worker has ended with all its runs.
  void started(const observed_start& start);
  void ended(const task_ref& task, run_number run, const std::string& worker, run_outcome how);
  // A run's checkpoint was saved; it stays valid from now on, even if the worker ends.
  void saved(const task_ref& task, const std::string& checkpoint);
  void acknowledged(const task_ref& task, run_number run, const std::string& worker,
                    run_outcome how, common::time_point at);
  // The worker has given a caller an answer that lists the run's end.
  void listed(const task_ref& task, run_number run, const std::string& worker,
              common::time_point at);
  // The worker's lease has expired: ends that were not taken note of by then no longer can be.
  void lease_lapsed(const std::string& worker, common::time_point at);
  // A disruption lasts from `from` to `until`. As long as none was ever reported, listed ends do
  // not count as taken note of: nobody tells when the cell is undisturbed.
  void disrupted(common::time_point from, common::time_point until);
  // Declares that all instances can reach the store and the workers for the whole simulation.
  void expect_connectivity() { m_instances_connected = true; }
  void worker_gone(const std::string& worker);
  // The worker was crashed by one of its runs, or at random.
  void worker_crashed(const std::string& worker);
  // Declares that the task crashes each worker that starts it, so that its job can't be completed.
  void expect_worker_crashes(const task_ref& task) { m_tasks[task].crashes_workers = true; }
  // The store has stored the worker's announcement that it is about to leave.
  void worker_leaving(const std::string& worker, common::time_point at);
  // Another writer has replaced the worker's entry by an invalid one; the worker has written its
  // own again.
  void entry_corrupted(const std::string& worker, common::time_point at);
  void entry_restored(const std::string& worker);
  void overloaded(const std::string& worker, const std::string& message);

  // Called periodically: tasks that must keep running have to run again soon if some worker that
  // may take them has twice the free capacity that they need. `disturbed_until`: when the latest
  // fault ended or will end.
  void check_long_running(const std::vector<usable_worker>& usable, common::time_point now,
                          common::time_point disturbed_until);

  // Checks that no run is active that had begun by that time and whose job's cancellation had been
  // acknowledged by then. Each such run is reported once.
  void check_cancelled_gone(common::time_point by);

  // At the end of a simulation: reports accepted jobs without a known state and those that are not
  // final, except if they are long-running or their cancellation was requested.
  void check_all_ended(const std::map<std::string, jobs::job_state>& states);

  const std::vector<std::string>& violations() const { return m_violations; }
  std::size_t starts() const { return m_starts; }
  // Number of runs that ended because their leases expired.
  std::size_t lapsed() const { return m_lapsed; }
  std::size_t accepted_jobs() const;
  // Whether a job is accepted, none of its tasks has started and its cancellation was not
  // requested.
  bool waits(const std::string& job) const;
  // Number of runs that have started and not ended, on workers that are up.
  std::size_t active_runs() const;
  // Whether there is an active run of a job that is not long-running.
  bool has_finite_runs() const;
  // The tasks that have active runs.
  std::vector<task_ref> active_tasks() const;
  // The jobs of which some task has ever started.
  std::vector<std::string> started_jobs() const;
  // The workers that have active runs.
  std::set<std::string> busy_workers() const;
  // How many tasks of the step each worker runs; 0 if it is not contained.
  std::map<std::string, std::uint32_t> tasks_by_worker(const std::string& job, std::uint32_t cycle,
                                                       std::uint32_t step) const;

private:
  struct observed_job
  {
    jobs::job_spec spec;
    std::string workspace; // empty: none
    std::uint32_t max_attempts = 1;
    bool accepted = false;
    // Whether the latest submission was; then neither it nor an earlier one may take effect.
    bool refused = false;
    bool started = false;
    bool cancel_requested = false;
    std::optional<common::time_point> cancelled_at;
    std::optional<common::time_point> completed_at; // when a caller was first shown this state
  };

  struct active_run
  {
    std::string worker;
    common::time_point begun;
    bool reported = false; // as running although its job is cancelled
  };

  // The end of a run that was done, until it is acknowledged.
  struct pending_end
  {
    run_number run = 0;
    std::string worker;
    std::vector<common::time_point> listed;
    std::vector<std::string> later_starts; // of the task, in breach if the end is noted
  };

  struct observed_task
  {
    std::map<run_number, active_run> active;
    std::set<run_number> done;
    std::vector<pending_end> pending_ends;
    std::optional<common::time_point> done_acknowledged;
    std::set<run_number> failures_acknowledged;
    std::set<run_number> failures;
    bool crashes_workers = false;
    std::size_t crashes = 0;           // of workers while they ran the task
    std::size_t starts_over_limit = 0; // since k_crash_limit crashes
    std::set<std::string> checkpoints;
    // Only for a task that must keep running.
    std::optional<common::time_point> idle_since;
    std::optional<common::time_point> due_since; // since when the task should run but does not
  };

  void violate(const std::string& rule, const task_ref& task, const std::string& message);
  bool step_done(const std::string& job, const observed_job& of, std::uint32_t cycle,
                 std::uint32_t step) const;
  // Whether some worker that may take one more task of the job's first step has twice the free
  // capacity that the task needs.
  bool has_free_capacity(const std::string& job, const std::vector<usable_worker>& usable) const;
  void check_start(const observed_job& job, const observed_start& start);
  void check_done(const jobs::step_spec& spec, const observed_start& start);
  // Remembers a start after ends that are not taken note of yet, but may be later.
  void record_later_start(const observed_start& start);
  bool undisturbed(common::time_point at) const;
  // When the end was taken note of, if it was by that time, because it had been listed.
  std::optional<common::time_point> noted_by_list(const pending_end& end,
                                                  common::time_point by) const;
  void check_completed(const observed_job& job, const observed_start& start);
  // How long after a task's end is known a speculative copy of it may still start.
  common::duration copy_grace() const;
  void check_leaving(const observed_start& start);
  void check_entry(const observed_start& start);
  void check_refusal(const std::string& job, const observed_job& observed);
  void check_failed(const std::string& job, const observed_job& observed);
  // Whether some task or gang of the job has used up its attempts.
  bool out_of_attempts(const std::string& job, const observed_job& observed) const;
  void check_crashes(const observed_start& start);
  // What all active runs of the workspace demand.
  common::resources used_by(const std::string& workspace) const;
  // Checks the workspace's limit after the start.
  void check_workspace(const observed_job& job, const observed_start& start);
  // Whether the workspace uses less than half of its limit, so that its tasks should run.
  bool below_half_of_limit(const observed_job& job, common::time_point now) const;

  job_lookup m_is_stored;
  limit_lookup m_workspace_limits;
  permission_lookup m_permitted;
  std::map<std::string, observed_job> m_jobs;
  std::set<std::string> m_long_running;
  std::map<task_ref, observed_task> m_tasks;
  std::map<std::string, common::time_point> m_leaving;         // since when, by worker
  std::map<std::string, common::time_point> m_corrupt_entries; // since when, by worker
  std::vector<std::pair<common::time_point, common::time_point>> m_disruptions;
  std::vector<std::string> m_violations;
  std::size_t m_starts = 0;
  std::size_t m_lapsed = 0;
  bool m_instances_connected = false;
};
} // namespace yardhill::model
