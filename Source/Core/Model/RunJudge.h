// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Sees every run at every worker and every answer to callers, and notes what must never happen.

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Jobs/JobProgress.h"
#include "Jobs/JobSpec.h"
#include "Scheduling/SchedulerMessages.h"

namespace yardhill::model
{
using scheduling::run_end;
using scheduling::run_number;
using scheduling::task_ref;

// A run as a worker begins it.
struct observed_start
{
  task_ref task;
  run_number run = 0;
  std::string worker;
  std::string payload;
  std::string checkpoint;
  common::time_point at;
  // The order was carried out late, by a life that had seen no fencing token before it.
  bool late_at_new_life = false;
};

// A worker that tasks could be started on.
struct usable_worker
{
  std::string id;
  common::resources capacity;
};

class run_judge
{
public:
  // Whether the store has a job, however it came there.
  using keeper = std::function<bool(const std::string& job)>;

  // Without a keeper, whether refused jobs are kept is not looked at.
  explicit run_judge(keeper kept = nullptr) : m_kept(std::move(kept)) {}

  // What callers send and are told.
  void submitted(const std::string& job, const jobs::job_spec& spec, std::uint32_t max_attempts);
  // A call to hand it in is under way, the first one or a later one.
  void tried(const std::string& job);
  // What became of the latest call; 0: there was no answer.
  void answered(const std::string& job, unsigned status);
  void cancel_asked(const std::string& job);
  // Nobody cancels it, and its tasks may run on any worker.
  void expect_to_last(const std::string& job) { m_lasting.insert(job); }
  // The caller was told that it is cancelled.
  void cancelled(const std::string& job, common::time_point at);
  void shown(const std::string& job, jobs::job_state state,
             std::optional<common::time_point> at = std::nullopt);

  // What workers do. `gone`: the worker has died with all its runs.
  void started(const observed_start& start);
  void ended(const task_ref& task, run_number run, const std::string& worker, run_end how);
  // A run's work is saved; its checkpoint is listed from now on, whatever becomes of the worker.
  void saved(const task_ref& task, const std::string& checkpoint);
  void acknowledged(const task_ref& task, run_number run, run_end how, common::time_point at);
  // All instances reach the store and the workers throughout.
  void expect_connectivity() { m_in_touch = true; }
  void worker_gone(const std::string& worker);
  // The worker has been crashed by what it ran, or by chance.
  void worker_crashed(const std::string& worker);
  // The task crashes each worker that starts it; its job can't be done.
  void expect_crashes(const task_ref& task) { m_tasks[task].crashes_workers = true; }
  // The store has taken the worker's word that it is about to leave.
  void worker_leaving(const std::string& worker, common::time_point at);
  // Another writer has put something in place of the worker's entry, and it is its own again.
  void entry_broken(const std::string& worker, common::time_point at);
  void entry_whole(const std::string& worker);
  void overloaded(const std::string& worker, const std::string& what);

  // Called often: tasks that are to last have to run again soon, if some worker has room for them
  // twice over. `disturbed_until`: when the latest trouble ended, or will.
  void check_lasting(const std::vector<usable_worker>& usable, common::time_point now,
                     common::time_point disturbed_until);

  // Runs still going on that had begun, and whose job's cancellation had been acknowledged, by
  // then; each is told once.
  void check_cancelled_gone(common::time_point by);

  // At the end of a play: accepted jobs that are neither done, failed for a reason, nor cancelled.
  void check_all_ended(const std::map<std::string, jobs::job_state>& states);

  const std::vector<std::string>& violations() const { return m_violations; }
  std::size_t starts() const { return m_starts; }
  // Runs whose leases ended.
  std::size_t lapsed() const { return m_lapsed; }
  std::size_t accepted_jobs() const;
  // Whether a job is accepted and none of its tasks has begun; not if its cancellation was asked
  // for.
  bool waits(const std::string& job) const;
  // Runs that have begun and not ended, on workers that live.
  std::size_t active_runs() const;
  // Whether any of them is of a job that will end.
  bool works() const;
  // Their tasks.
  std::vector<task_ref> active_tasks() const;
  // Jobs of which any task has ever begun.
  std::vector<std::string> started_jobs() const;
  // The workers that these are on.
  std::set<std::string> busy_workers() const;

private:
  struct seen_job
  {
    jobs::job_spec spec;
    std::uint32_t max_attempts = 1;
    bool accepted = false;
    bool refused = false; // the latest call; nothing may come of it or of earlier ones
    bool started = false;
    bool cancel_asked = false;
    std::optional<common::time_point> cancelled_at;
    std::optional<common::time_point> completed_at; // it was first shown so
  };

  struct active_run
  {
    std::string worker;
    common::time_point begun;
    bool told = false; // that it goes on although its job is cancelled
  };

  struct seen_task
  {
    std::map<run_number, active_run> active;
    std::set<run_number> done;
    std::optional<common::time_point> done_acknowledged;
    std::set<run_number> failures_acknowledged;
    std::set<run_number> failures;
    bool crashes_workers = false;
    std::size_t crashes = 0;       // of workers under it
    std::size_t starts_beyond = 0; // after the third of them
    std::set<std::string> checkpoints;
    // Of a task that is to last.
    std::optional<common::time_point> idle_since;
    std::optional<common::time_point> due_since; // it ought to run, and does not
  };

  void violate(const std::string& rule, const task_ref& task, const std::string& what);
  bool step_done(const std::string& job, const seen_job& of, std::uint32_t cycle,
                 std::uint32_t step) const;
  bool has_room(const jobs::step_spec& step, const std::vector<usable_worker>& usable) const;
  void check_start(const seen_job& job, const observed_start& start);
  void check_done(const jobs::step_spec& spec, const observed_start& start);
  void check_completed(const seen_job& job, const observed_start& start);
  // How long after a task's end is known a copy of it may still come.
  common::duration copy_late() const;
  void check_leaving(const observed_start& start);
  void check_entry(const observed_start& start);
  void check_refusal(const std::string& job, const seen_job& seen);
  void check_failed(const std::string& job, const seen_job& seen);
  // Whether its attempts are used up.
  bool out_of_attempts(const std::string& job, const seen_job& seen) const;
  void check_crashes(const observed_start& start);

  keeper m_kept;
  std::map<std::string, seen_job> m_jobs;
  std::set<std::string> m_lasting;
  std::map<task_ref, seen_task> m_tasks;
  std::map<std::string, common::time_point> m_leaving;        // workers, since when
  std::map<std::string, common::time_point> m_broken_entries; // the same
  std::vector<std::string> m_violations;
  std::size_t m_starts = 0;
  std::size_t m_lapsed = 0;
  bool m_in_touch = false;
};
} // namespace yardhill::model
