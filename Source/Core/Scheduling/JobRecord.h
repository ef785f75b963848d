// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// A job as its partition's owner keeps it in memory: the submitted specification and the phase of
// each task.

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/container/flat_map.hpp>

#include "Jobs/JobProgress.h"
#include "Jobs/JobSpec.h"
#include "Scheduling/SchedulerMessages.h"

namespace yardhill::scheduling
{
struct run_record;
struct workspace_account;

// Whether the store has a mark that something may be started.
enum class begin_mark
{
  none,
  wanted,    // to be written by the next commit
  in_flight, // part of a commit that is not confirmed yet
  written
};

// How many losses of a worker count against the task: those for which it was blamed, and those
// whose cause is unclear.
std::size_t counted_losses(const jobs::crash_history& crashes);
// How many starts of the task may have been lost with their workers, whatever is known of the
// cause.
std::size_t lost_starts(const jobs::crash_history& crashes);
// Whether the task may crash its workers, so that it is tried apart from other suspected tasks.
bool suspected(const jobs::crash_history& crashes);

enum class task_phase
{
  waiting,
  active, // at least one run of the task may be going on
  done,
  unaccounted // an earlier owner may have started the task on a worker not heard yet
};

struct task_record
{
  task_phase phase = task_phase::waiting;
  run_number last_run = 0; // the highest number used
  std::vector<run_number> failed_runs;
  std::string checkpoint;
  // A run of the task was given up without word from its worker. Another owner may have heard how
  // that run ended.
  bool lost = false;
  jobs::crash_history crashes;
  begin_mark announced = begin_mark::none; // of the run that `crashes` announces
  // The run whose loss is about to have the task given up, unless it turns out to be one of many
  // losses at that time.
  std::optional<run_number> pending_give_up_run;
  // Since when the task has waited for a worker that is fit for its trial.
  std::optional<time_point> waiting_for_trial_since;
  // Since when a long-running task has not been known for certain to run (see wait_report).
  std::optional<time_point> idle_since;
  std::vector<run_record*> runs;
};

// What became of the latest attempt to request advice for a step.
enum class advice_attempt
{
  none,
  in_flight,
  paused,    // the last request had no reply or permitted no worker
  no_slot,   // as many calls are in flight as may be
  no_budget, // more urgent steps of the pass need the free capacity
  no_worker  // no worker without a valid ticket could take a task
};

// The workers that the queue's policy permits for a step, as far as the admission service was
// asked.
struct step_permits
{
  struct call
  {
    time_point sent{};
    std::optional<time_point> replied;
    std::size_t named = 0;
    std::size_t known_permitted = 0; // of those named
    std::size_t permitted = 0;       // by the reply
    std::size_t usable = 0;          // of the permitted: could take a task when the reply came
  };
  struct ticket
  {
    std::string text;
    time_point until;
  };
  boost::container::flat_map<worker_id, ticket> tickets; // by permitted worker; may have expired
  // Whether the policy permits the worker, for each worker asked about. The policy does not change.
  boost::container::flat_map<worker_id, bool> permitted;
  bool asking = false;    // a request for advice is in flight
  unsigned fruitless = 0; // replies in a row after which no task of the step has started
  time_point ask_after{}; // no request before this time
  // When advice was last requested, or would have been if there had been a worker to ask about.
  time_point last_advice_turn{};
  advice_attempt latest_attempt = advice_attempt::none;
  std::optional<call> latest_call;
};

// Where tasks of a step may be started. This is written to the store before the first start, so
// that later owners know on which workers they may find runs.
struct step_begin_marks
{
  begin_mark mark = begin_mark::none; // for the workers of `zone`
  std::string zone;                   // empty: all zones
  // For the workers of all zones, once `zone` has turned out to be too small.
  begin_mark all_zones_mark = begin_mark::none;

  bool anywhere() const { return zone.empty() || all_zones_mark != begin_mark::none; }
  // Whether a task may be placed on a worker of the zone, though perhaps not started there yet.
  bool covers(const std::string& worker_zone) const { return anywhere() || worker_zone == zone; }
  // Whether a task may be started on a worker of the zone.
  bool written_for(const std::string& worker_zone) const
  {
    return all_zones_mark == begin_mark::written ||
           (mark == begin_mark::written && (zone.empty() || worker_zone == zone));
  }
};

struct step_record
{
  const jobs::step_spec* spec = nullptr;
  std::vector<task_record> tasks;
  std::uint32_t waiting = 0;
  std::uint32_t done = 0;
  step_permits permits;
  step_begin_marks begun;

  // Whether the log says that the step waits for its workspace's limit.
  bool workspace_wait_logged = false;
  // Since when tasks of the step have been seen waiting although the step is ready (see backlog).
  std::optional<time_point> waiting_since;

  bool complete() const { return done == tasks.size(); }
  bool all_wait() const { return waiting == tasks.size(); }
  // The index of the first task that waits.
  std::optional<std::uint32_t> first_waiting() const;
};

struct cycle_record
{
  std::vector<step_record> steps;
};

// The credit that a job can still earn.
enum class job_prospect
{
  in_time, // its full credit
  late,    // part of its credit
  none
};

class job_record
{
public:
  job_record(jobs::accepted_job job, const jobs::queue_policy& policy, time_point accepted);

  const std::string& id() const { return m_job.id; }
  const jobs::accepted_job& accepted() const { return m_job; }
  const jobs::queue_policy& policy() const { return m_policy; }
  void set_policy(const jobs::queue_policy& policy);
  // Has the progress say what the configuration last said of the job's queue and workspace.
  void keep_terms(const jobs::acceptance_terms& terms);

  // Of the job's workspace; null if it has none.
  workspace_account* account() const { return m_account; }
  void set_account(workspace_account* account) { m_account = account; }
  // Whether the workspace had used up its share when the job was accepted.
  bool beyond_share() const { return m_beyond_share; }
  void set_beyond_share(bool beyond) { m_beyond_share = beyond; }

  jobs::job_state state() const { return m_state; }
  // Whether a task is known to have begun, from a worker's answer or lists or from an earlier
  // owner's record.
  bool known_begun() const { return m_known_begun; }
  void set_known_begun() { m_known_begun = true; }
  // Records that a start request is sent. True for the first one, unless a task of the job is
  // already known to have begun.
  bool first_start() { return !std::exchange(m_start_sent, true) && !m_known_begun; }
  bool ended() const { return jobs::is_final(m_state); }
  void set_state(jobs::job_state state) { m_state = state; }

  // When the job has to be complete to earn its full credit, and until when it can earn some.
  time_point objective() const { return m_objective; }
  time_point credit_end() const { return m_credit_end; }
  time_point accepted_at() const { return m_accepted_at; }
  // The longest chain of estimated work that begins with the step.
  milliseconds critical_path_from(std::uint32_t step) const { return m_critical_paths[step]; }
  // What the job can still earn if the step starts now.
  job_prospect prospect(std::uint32_t step, time_point now) const;

  std::vector<cycle_record>& cycles() { return m_cycles; }
  const std::vector<cycle_record>& cycles() const { return m_cycles; }
  step_record& step(const task_place& place) { return m_cycles[place.cycle].steps[place.step]; }
  task_record& task(const task_place& place) { return step(place).tasks[place.index]; }
  bool contains(const task_place& place) const;
  std::uint32_t waiting() const;
  // What the tasks demand together that an earlier owner may have started.
  common::resources unaccounted_demand() const;

  // Whether the step's cycle is due and all steps that it depends on are complete.
  bool ready(std::uint32_t cycle, std::uint32_t step, jobs::wall_time wall) const;
  bool all_done() const;
  bool has_runs() const;
  // Whether a run of a suspected task is announced for that worker.
  bool has_suspect_on(const std::string& worker) const;

  // Moves a task to another phase and updates the step's counts.
  void set_phase(const task_place& place, task_phase phase);

  // The progress that is stored for later owners.
  jobs::job_progress progress() const;
  // Restores progress stored by an earlier owner. Runs are numbered above `first_run`.
  void restore(const jobs::job_progress& progress, run_number first_run);
  // Counts the tasks that are not in the share as done, since other partitions run them.
  void exclude_other_shares(const jobs::task_share& share);
  // Whether the job's tasks are shared among all partitions.
  bool shared() const { return m_job.home == jobs::k_every_partition; }
  // Marks the tasks that an earlier owner may have started as unaccounted: all waiting tasks of
  // steps with a begin mark.
  void mark_unaccounted();
  void mark_unaccounted(const task_place& place);
  // Marks the tasks that are still unaccounted as lost: they were given up without word from their
  // workers.
  void mark_unaccounted_lost();
  // Moves the marks of all steps and of announced runs from one state to another. A queued job with
  // a written mark becomes active.
  void advance_begin_marks(begin_mark from, begin_mark to);

private:
  // Computes the deadlines from the job's queue policy.
  void set_deadlines();
  // Whether the mark of any step is in the given state or a later one.
  bool begin_marked(begin_mark least) const;

  jobs::accepted_job m_job;
  jobs::queue_policy m_policy;
  workspace_account* m_account = nullptr;
  bool m_beyond_share = false;
  bool m_terms_in_progress = false; // since the job's own row has none
  jobs::job_state m_state = jobs::job_state::queued;
  bool m_known_begun = false;
  bool m_start_sent = false;
  time_point m_accepted_at;
  time_point m_objective;
  time_point m_credit_end;
  std::vector<milliseconds> m_critical_paths; // by step, see critical_path_from
  std::vector<cycle_record> m_cycles;
};
} // namespace yardhill::scheduling
