// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// What the parts of a partition's scheduler share: jobs, workers, commands to be carried out.

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
#include "Scheduling/StartOutlook.h"
#include "Scheduling/WorkerRecord.h"

namespace yardhill::scheduling
{
struct scheduler_state
{
  scheduler_state(const scheduler_options& given, common::metrics& counts)
      : options(given), metrics(counts), starts(given.starts)
  {
  }

  scheduler_options options;
  common::metrics& metrics;
  start_budget starts;
  start_outlook outlook;
  runtime_model runtimes;
  std::unordered_map<std::string, std::unique_ptr<job_record>> jobs;
  // Every pass walks them, and few come or go.
  boost::container::flat_map<worker_id, std::unique_ptr<worker_record>> workers;
  std::map<std::string, jobs::queue_policy> policies; // by queue
  std::vector<command> commands;
  std::set<std::string> dirty;  // jobs whose row has to be written
  std::set<std::string> open;   // jobs that have not ended
  std::set<worker_id> released; // claimed workers that are gone, to be written
  // Until when this owner may order anything; it is extended by the store's word.
  time_point authority_end{};
  // Whether anything may be started or a lease extended: not before the first renewal is written,
  // since a successor takes an owner that never renewed for one that never gave orders.
  bool orders_begun = true;
  bool stated_ends_doubted = false; // those that the claims of earlier owners say
  bool placing_ended = false;       // the partition is being given back
  time_point confirmed{};           // when the latest renewal was asked for
  time_point earlier_end{};         // of what earlier owners ordered on workers not heard since
  bool fenced = false;              // a worker obeys a later owner
  fencing_token newest_token = 0;   // of this owner
  std::uint64_t lives = 0;          // of workers, counted
  // Of orders at present: how long one is under way before it is told as unanswered, and how long
  // answers take.
  duration worker_request_timeout{};
  duration order_round_trip{};
  bool place_again = true;
  // Orders in a row that no worker of the zone has answered.
  struct zone_silence
  {
    unsigned orders = 0;
    time_point latest{};
  };
  std::map<std::string, zone_silence> zone_silences;
  // Time of day less the steady clock, for timed jobs.
  std::chrono::milliseconds wall_ahead{0};
  // Numbers of runs begin above this: an earlier owner may have used any up to it.
  run_number first_run = 0;

  job_record* find_job(const std::string& id);
  worker_record* find_worker(const worker_id& id);
  // Whether the run takes longer than sound ones do.
  bool overdue(const run_record& run, time_point now) const;
  run_record* find_run(const worker_id& worker, const task_ref& task, run_number run);
  jobs::wall_time wall(time_point now) const;
  bool may_act(time_point now) const { return now < authority_end && !fenced; }
  // Whether no other owner can have come since a moment ago.
  bool surely_owner(time_point now) const { return now - confirmed < options.fresh_word; }
  // Whether the task may not be started again before the store has confirmed the ownership anew.
  bool awaits_renewal(const task_record& task, time_point now) const
  {
    return task.lost && !surely_owner(now);
  }
  // Whether tasks may be started at all.
  bool may_place(time_point now) const { return may_act(now) && orders_begun && !placing_ended; }

  // An order without an answer is sent again after this time. While answers are slow, a copy most
  // likely adds to what they wait for, so the time doubles with each (RFC 6298, section 5.5).
  duration order_retry(unsigned sends) const;
  // The lease that a copy of the run's start gives if it is sent now.
  worker_clock_time start_lease(const run_record& run, time_point now) const;
  // The lease of everything that is held now ends at this worker time.
  worker_clock_time extended_lease(worker_record& worker, time_point now) const;
  // Counts an order's outcome for its worker and for the worker's zone.
  void note_order(worker_record& worker, bool answered, time_point now);
  // The worker was heard, so its zone is not cut off from here.
  void note_heard(const worker_record& worker) { zone_silences.erase(worker.info.zone); }
  // Whether anything new may be given to the worker now, as far as its health goes.
  bool usable(const worker_record& worker, time_point now) const;
  void mark_dirty(const job_record& job) { dirty.insert(job.id()); }
  // Has it written that tasks of the step may be started in the zone (empty: anywhere).
  void want_begun(const job_record& job, step_record& step, const std::string& zone);
  // The same for all workers, since the step's zone is too small.
  void want_anywhere(const job_record& job, step_record& step);
  // Adds a run that takes room from now on.
  run_record& add_run(job_record& job, const task_place& place, run_number number,
                      worker_record& worker, time_point now);
  // The run has ended or never was: its room is free, its task waits again if nothing else of it
  // runs and it is not done.
  void remove_run(run_record& run);
  void order_stop(run_record& run, time_point now);
  // The job has ended as `how`: whatever of it runs is stopped.
  void end_job(job_record& job, jobs::job_state how, time_point now);
  // No ticket or permission of before says anything of the worker's present life.
  void forget_tickets(const worker_id& worker);
  // A hold had no answer and may be carried out later, even by the worker's next life, which would
  // forget ends of its own by the numbers in it. What is sent from now on bears a higher token as
  // soon as there is one: a life that has seen that does nothing of the hold any more.
  void outdate_token(worker_record& worker) const;
  // A worker answered with `fence`: it has seen a higher token than the call's.
  void note_fenced(const worker_id& worker, fencing_token token);
  // Which of a worker's runs are lost with its life.
  enum class lost_runs
  {
    all,
    surely_begun // not those whose start the next life under the same id may still carry out
  };
  void lose_runs(worker_record& worker, lost_runs which, const char* why);
};
} // namespace yardhill::scheduling
