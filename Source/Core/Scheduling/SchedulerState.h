// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The state that the components of a partition's scheduler share: jobs, workers, and commands that
// wait to be carried out.

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/container/flat_map.hpp>

#include "Common/Metrics.h"
#include "Scheduling/JobRecord.h"
#include "Scheduling/RuntimeModel.h"
#include "Scheduling/SchedulerOptions.h"
#include "Scheduling/StartBudget.h"
#include "Scheduling/StartWaitEstimator.h"
#include "Scheduling/WorkerRecord.h"
#include "Scheduling/WorkerSpeeds.h"
#include "Scheduling/WorkspaceUsage.h"

namespace yardhill::scheduling
{
struct scheduler_state
{
  scheduler_state(const scheduler_options& initial_options, common::metrics& shared_metrics)
      : options(initial_options),
        metrics(shared_metrics),
        starts(initial_options.starts),
        workspaces(initial_options.share)
  {
  }

  scheduler_options options;
  common::metrics& metrics;
  start_budget starts;
  start_wait_estimator outlook;
  runtime_model runtimes;
  worker_speeds speeds;
  std::unordered_map<std::string, std::unique_ptr<job_record>> jobs;
  // A flat map, since every pass iterates over all workers, and few are added or removed.
  boost::container::flat_map<worker_id, std::unique_ptr<worker_record>> workers;
  std::map<std::string, jobs::queue_policy> policies; // by queue
  workspace_usage workspaces;
  std::vector<command> commands;
  std::set<std::string> dirty;  // jobs whose rows have to be written
  std::set<std::string> open;   // jobs that have not ended
  std::set<worker_id> released; // workers that are gone and whose claims have to be removed
  // Until when this owner may send commands; extended by each of its writes that the store
  // confirms.
  time_point authority_end{};
  // Whether anything may be started or a lease extended: not before the first renewal is written,
  // since a successor assumes that an owner that never renewed has done neither.
  bool starts_allowed = true;
  bool stated_ends_ignored = false; // of those that earlier owners' claims state
  bool placing_ended = false;       // the partition is being released
  time_point confirmed{};           // when the latest confirmed renewal was sent
  // By then every run has ended that earlier owners started on workers not heard since.
  time_point earlier_owners_lease_end{};
  bool fenced = false;            // a worker has seen a later owner's token
  fencing_token newest_token = 0; // of this owner
  std::uint64_t lives = 0;        // counts the incarnations of all workers
  // For calls to workers at present: the time after which one is reported as unanswered, and the
  // time that answers take.
  duration worker_request_timeout{};
  duration request_round_trip{};
  bool place_again = true; // something has changed that may let a waiting task be placed
  // Start and stop requests in a row that no worker of the zone has answered.
  struct zone_silence
  {
    unsigned unanswered = 0;
    time_point latest{}; // when the latest of them was given up
  };
  std::map<std::string, zone_silence> zone_silences;
  // Time of day minus the steady clock, for timed jobs.
  std::chrono::milliseconds wall_clock_offset{0};
  // Runs are numbered above this, since earlier owners may have used any number up to it.
  run_number first_run = 0;

  job_record* find_job(const std::string& id);
  worker_record* find_worker(const worker_id& id);
  // Whether the run takes longer than sound runs of its kind do (see runtime_model).
  bool overdue(const run_record& run, time_point now) const;
  run_record* find_run(const worker_id& worker, const task_ref& task, run_number run);
  jobs::wall_time wall(time_point now) const;
  bool may_act(time_point now) const { return now < authority_end && !fenced; }
  // Whether the ownership was confirmed so recently that no other owner can have taken over by now.
  bool ownership_recently_confirmed(time_point now) const
  {
    return now - confirmed < options.max_renewal_age;
  }
  // Whether the task must not be started again before the store has confirmed the ownership again.
  bool awaits_renewal(const task_record& task, time_point now) const
  {
    return task.lost && !ownership_recently_confirmed(now);
  }
  // Whether another task of the step, or its whole gang, may start within its workspace's limit.
  static bool within_workspace_limit(const job_record& job, const jobs::step_spec& step);
  // Whether tasks may be placed and started at all.
  bool may_place(time_point now) const { return may_act(now) && starts_allowed && !placing_ended; }

  // A start or stop request without an answer is sent again after this time. While answers are
  // slow, a copy most likely adds to the load that delays them, so the time doubles with each copy
  // (RFC 6298, section 5.5).
  duration request_retry(unsigned sends) const;
  // The end of the lease that a copy of the run's start grants if it is sent now.
  worker_clock_time start_lease_end(const run_record& run, time_point now) const;
  // The end of the lease, on the worker's clock, that a start or hold sent now may grant. Moves the
  // end that is recorded for the worker accordingly.
  worker_clock_time extend_worker_lease(worker_record& worker, time_point now) const;
  // Records for the worker and its zone whether a start or stop request was answered.
  void note_order(worker_record& worker, bool answered, time_point now);
  // The worker was heard, so its zone is reachable from here.
  void clear_zone_silence(const worker_record& worker) { zone_silences.erase(worker.info.zone); }
  // Whether an answer has shown so recently which incarnation of the worker is there that none can
  // have replaced it unnoticed.
  bool incarnation_confirmed(const worker_record& worker, time_point now) const;
  // Has the worker asked at once which incarnation is there.
  void request_confirmation(worker_record& worker, time_point now);
  // Whether the state of the worker and its zone allows starts on the worker now.
  bool usable(const worker_record& worker, time_point now) const;
  void mark_dirty(const job_record& job) { dirty.insert(job.id()); }
  // Has the store record that tasks of the step may be started in the zone (empty: in any zone).
  void request_begin_mark(const job_record& job, step_record& step, const std::string& zone);
  // The same for the workers of all zones, since the step's zone is too small.
  void request_begin_mark_in_all_zones(const job_record& job, step_record& step);
  // Adds a run, which takes its resources from the worker's free capacity.
  run_record& add_run(job_record& job, const task_place& place, run_number number,
                      worker_record& worker, time_point now);
  // The run has ended or never began: its resources are released, and its task waits again unless
  // it is done or has another run.
  void remove_run(run_record& run);
  // Sends a stop request for the run, unless one was sent just before.
  void request_stop(run_record& run, time_point now);
  // The job has ended in the given state. All its runs are stopped.
  void end_job(job_record& job, jobs::job_state final_state, time_point now);
  // Drops all tickets and permissions for the worker, which do not hold for its new incarnation.
  void drop_tickets(const worker_id& worker);
  // Gives the worker a higher token as soon as this owner has one. Called when a hold was not
  // answered: the hold may still be carried out later, even by the worker's next incarnation, which
  // would forget ends of its own that have the numbers acknowledged in the hold. An incarnation
  // that has seen the higher token rejects the hold.
  void supersede_token(worker_record& worker) const;
  // A worker rejected a call because it has seen a higher token than the call's.
  void record_fenced_reply(const worker_id& worker, fencing_token token);
  // Which of a worker's runs are lost with its incarnation.
  enum class lost_runs
  {
    all,
    surely_begun // not those whose start the next incarnation may still carry out
  };
  void remove_lost_runs(worker_record& worker, lost_runs which, const char* why);
};
} // namespace yardhill::scheduling
