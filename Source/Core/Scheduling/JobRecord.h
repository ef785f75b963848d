// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// A job as its partition's owner holds it in memory: what was asked for, and each task's phase.

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

// Whether the store keeps that something may be started.
enum class begin_mark
{
  none,
  wanted,
  on_its_way,
  written
};

// How often workers have been lost with the task in a way that counts against it.
std::size_t counted_losses(const jobs::crash_history& crashes);
// How many of its starts may have been lost with their workers, whatever is known of the cause.
std::size_t lost_starts(const jobs::crash_history& crashes);
// Whether it is tried apart from others.
bool suspected(const jobs::crash_history& crashes);

enum class task_phase
{
  waiting,
  active, // at least one run of it may be going on
  done,
  unaccounted // an earlier owner may have started it on a worker that has not been heard yet
};

struct task_record
{
  task_phase phase = task_phase::waiting;
  run_number last_run = 0; // the highest number used
  std::vector<run_number> failed_runs;
  std::string checkpoint;
  // A run of it was given up unheard. Another owner may have heard how it ended.
  bool lost = false;
  jobs::crash_history crashes;
  begin_mark announced = begin_mark::none; // of the run that `crashes` announces
  // The run by whose loss it is about to be given up, unless that turns out to be one of many.
  std::optional<run_number> pending_give_up_run;
  // Since when it waits for a worker that is fit for its trial.
  std::optional<time_point> waiting_for_trial_since;
  // Since when a task that lasts is seen not to run for certain (see wait_report).
  std::optional<time_point> idle_since;
  std::vector<run_record*> runs;
};

// Which workers the queue's policy permits for a step, as far as it was asked.
struct step_permits
{
  struct ticket
  {
    std::string text;
    time_point until;
  };
  boost::container::flat_map<worker_id, ticket> tickets; // of permitted workers; may be out of date
  // Every worker asked about: the policy does not change.
  boost::container::flat_map<worker_id, bool> permitted;
  bool asking = false;
  time_point ask_after{};
  time_point last_advice_turn{}; // when it was last asked about, or there was no worker worth it
};

// Where tasks of a step may be started, as far as later owners know or are about to.
struct step_begin_marks
{
  begin_mark mark = begin_mark::none;
  std::string zone; // on its workers alone; empty: on any
  // The same for all workers, where the zone turned out too small.
  begin_mark all_zones_mark = begin_mark::none;

  bool anywhere() const { return zone.empty() || all_zones_mark != begin_mark::none; }
  // Whether a task may be meant for a worker of that zone, and whether it may be started there.
  bool covers(const std::string& in) const { return anywhere() || in == zone; }
  bool written_for(const std::string& in) const
  {
    return all_zones_mark == begin_mark::written ||
           (mark == begin_mark::written && (zone.empty() || in == zone));
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

  // Since when tasks of it are seen to wait though it is ready (see backlog).
  std::optional<time_point> waiting_since;

  bool complete() const { return done == tasks.size(); }
  bool all_wait() const { return waiting == tasks.size(); }
};

struct cycle_record
{
  std::vector<step_record> steps;
};

enum class job_prospect
{
  in_time, // its full credit
  late,    // a part
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

  jobs::job_state state() const { return m_state; }
  // Whether a task is known to have begun: by a worker's answer or lists, or by an earlier owner.
  bool known_begun() const { return m_known_begun; }
  void set_known_begun() { m_known_begun = true; }
  // True of the first order of a start only, and not if a task had begun before this owner.
  bool first_start() { return !std::exchange(m_start_ordered, true) && !m_known_begun; }
  bool ended() const { return jobs::is_final(m_state); }
  void set_state(jobs::job_state state) { m_state = state; }

  // When the job should be complete to be worth its full credit, and until when it is worth some.
  time_point objective() const { return m_objective; }
  time_point worthless() const { return m_worthless; }
  time_point accepted_at() const { return m_accepted_at; }
  // What a job can still earn if this step starts now.
  milliseconds critical_path_from(std::uint32_t step) const { return m_chains[step]; }
  job_prospect prospect(std::uint32_t step, time_point now) const;

  std::vector<cycle_record>& cycles() { return m_cycles; }
  const std::vector<cycle_record>& cycles() const { return m_cycles; }
  step_record& step(const task_place& place) { return m_cycles[place.cycle].steps[place.step]; }
  task_record& task(const task_place& place) { return step(place).tasks[place.index]; }
  bool contains(const task_place& place) const;
  std::uint32_t waiting() const;

  // Whether everything that the step depends on is done and its cycle is due.
  bool ready(std::uint32_t cycle, std::uint32_t step, jobs::wall_time wall) const;
  bool all_done() const;
  bool has_runs() const;
  // Whether a run of a suspected task is announced for that worker.
  bool has_suspect_on(const std::string& worker) const;

  // Moves a task between phases and keeps the counts.
  void set_phase(const task_place& place, task_phase phase);

  // What has to outlast this owner, and taking it over from an earlier one.
  jobs::job_progress progress() const;
  void restore(const jobs::job_progress& progress, run_number first_run);
  // Other partitions run what the share leaves out: it counts as done here.
  void leave_to_others(const jobs::task_share& share);
  bool shared() const { return m_job.home == jobs::k_every_partition; }
  // Every task that is not done of a step that has begun may have been started by an earlier owner.
  void mark_unaccounted();
  void mark_unaccounted(const task_place& place);
  // Those that still are have been given up unheard.
  void mark_unaccounted_lost();
  // Moves the marks of all steps, and of announced runs, from one state to the next. A job with a
  // written mark is active.
  void advance_begin_marks(begin_mark from, begin_mark to);

private:
  void set_times();
  // Whether the mark of some step has come at least so far.
  bool begin_marked(begin_mark least) const;

  jobs::accepted_job m_job;
  jobs::queue_policy m_policy;
  jobs::job_state m_state = jobs::job_state::queued;
  bool m_known_begun = false;
  bool m_start_ordered = false;
  time_point m_accepted_at;
  time_point m_objective;
  time_point m_worthless;
  std::vector<milliseconds> m_chains; // of estimated work, from each step on
  std::vector<cycle_record> m_cycles;
};
} // namespace yardhill::scheduling
