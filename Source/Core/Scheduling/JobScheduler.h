// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// One partition's jobs and workers under one owner: told of events, it answers with commands.
//
// No I/O, no clock, no randomness: the same events at the same times give the same commands.

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
#include "Scheduling/RunFollower.h"
#include "Scheduling/SchedulerState.h"
#include "Scheduling/WaitReport.h"
#include "Scheduling/WorkerHolder.h"

namespace yardhill::scheduling
{
// What has to be written before the ends in it may be acknowledged.
struct commit_batch
{
  std::map<std::string, std::string> rows; // progress by job
  // The highest end of the worker's life of that number.
  struct read_ends
  {
    std::uint64_t life = 0;
    end_number highest = 0;
  };
  std::map<worker_id, read_ends> ends;
  // Workers on which runs may be started once this is written (or may no longer), and workers on
  // which none can be any more. A later owner asks all of them, with entries or without.
  std::map<worker_id, worker_claim> claims;
  std::set<worker_id> releases;
  // Nothing that there was to write when it was taken is left out.
  bool complete = false;

  std::size_t size() const { return rows.size() + claims.size() + releases.size(); }
};

class job_scheduler
{
public:
  // Runs are numbered above `first_run`.
  job_scheduler(const scheduler_options& options, run_number first_run, common::metrics& counts);
  job_scheduler(const job_scheduler&) = delete;
  job_scheduler& operator=(const job_scheduler&) = delete;

  void set_policies(std::map<std::string, jobs::queue_policy> policies);
  // The time of day at `now`.
  void set_wall_clock(jobs::wall_time wall, time_point now);
  void set_advice_slots(const advice_slots& slots) { m_advice.set_slots(slots); }
  // How long an order may be without an answer at present, and how long answers take.
  void set_request_times(duration patience, duration round_trip);
  // How late the event loop was at the latest.
  void set_loop_lateness(duration lateness) { m_loop_lateness = lateness; }
  // Orders may be given until this time; the latest renewal of the ownership that the store has
  // answered was asked for at `confirmed`.
  void set_authority(time_point until, time_point confirmed);
  // Another token of this owner, higher than those before; the first one comes before any order.
  void token_given(fencing_token token);
  // Nothing is started and no lease extended between these two; workers are held all the same.
  void suspend_starts();
  void allow_starts();
  // From now on nothing is started; leases are still extended, ends still taken in.
  void end_placing();

  // The latest owner was of a version that states no ends in claims, nor takes them back: those
  // that stand there are not believed, and replaced. Told before any claim is restored.
  void ignore_stated_ends();
  // A worker that an earlier owner had claimed.
  void restore_claim(const worker_id& id, const worker_claim& claim, time_point now);
  void worker_entry(const worker_info& info, time_point now);
  // What its entry says now cannot be believed: nothing new is started there until it can. What
  // runs there goes on, and its claim holds.
  void worker_entry_invalid(const worker_id& id);
  void worker_entry_gone(const worker_id& id, time_point now);

  // A job accepted under this owner.
  void add_job(const jobs::accepted_job& job, time_point now);
  // A job of an earlier owner, as far as it had come.
  void restore_job(const jobs::accepted_job& job, const std::optional<jobs::job_progress>& progress,
                   time_point now);
  // After this, nothing that an earlier owner ordered can be running on a worker not heard since.
  // Told before any worker is.
  void set_earlier_owners_lease_end(time_point end);
  // It is over sooner than that.
  void shorten_earlier_owners_leases(time_point end);
  // All earlier jobs and known workers are here: their tasks wait until every worker is heard.
  void begin_accounting(time_point now);
  void cancel_job(const std::string& id, time_point now);

  void start_answered(const start_answer& answer, time_point now);
  void stop_answered(const stop_answer& answer, time_point now);
  void hold_answered(const hold_answer& answer, time_point now);
  void advice_answered(const advice_answer& answer, time_point now);

  // What has changed since the last call; the caller writes it and says how that went.
  // At most `most_rows` rows. With more jobs to write, the ends have to wait for a later batch.
  commit_batch take_commit(std::size_t most_rows, time_point now);
  void commit_done(const commit_batch& batch, bool written);

  void tick(time_point now);
  std::vector<command> take_commands();
  // How long after one tick the next one is due, when something has happened.
  duration pass_spacing() const;
  // Waiting steps that the latest pass looked at.
  std::size_t steps_looked_at() const { return m_placer.looked_at(); }

  // Whether orders may be given: no other owner can have come long ago.
  bool may_act(time_point now) const { return m_state.may_act(now); }
  // Jobs whose end has been written since the last call.
  std::vector<std::string> take_ended_jobs() { return std::exchange(m_just_ended, {}); }
  bool fenced() const { return m_state.fenced; }
  // Whether ends or final states wait to be written.
  bool has_changes(time_point now) const;
  bool knows(const std::string& job) const { return m_state.jobs.contains(job); }
  // Also true for jobs that have ended under this owner and are no longer held in memory.
  bool knew(const std::string& job) const { return knows(job) || m_forgotten.contains(job); }
  // Whether the job's latest state waits for a commit.
  bool has_uncommitted_state(const std::string& job) const { return m_state.dirty.contains(job); }
  // Also of jobs that have ended under this owner; the state of those is written.
  std::optional<jobs::job_state> state_of(const std::string& job) const;
  partition_load load() const { return load_of(m_state); }
  const wait_report& waits() const { return m_waits; }
  std::map<std::uint32_t, milliseconds> start_waits(time_point now) const
  {
    return scheduling::start_waits(m_state, now);
  }

private:
  bool ends_unwritten() const;
  // Whether its claim ought to say when all that runs there is over.
  bool ends_unheard(const worker_record& worker, time_point now) const;
  bool claim_outdated(const worker_record& worker, time_point now) const;
  worker_claim claim_of(const worker_record& worker, time_point now) const;
  void drop_old_ids();
  // Drops ended jobs that are written and of which nothing runs any more.
  void forget_ended();
  void look_ahead(time_point now);
  // Figures and lines about what waits, once a second.
  void report_if_due(time_point now);
  // Whether this pass looks for runs that time alone has made late or silent.
  bool survey_due();
  const jobs::queue_policy& policy_of(const std::string& queue) const;

  scheduler_state m_state;
  crash_watch m_crashes;
  takeover_accounting m_accounting;
  copy_watch m_copies;
  run_follower m_follower;
  worker_holder m_holder;
  zone_chooser m_zones;
  reservations m_reservations;
  advice_planner m_advice;
  placer m_placer;
  evacuator m_evacuator;
  wait_report m_waits;
  std::optional<time_point> m_reported;
  std::set<std::string> m_ending; // ended jobs that are still held
  // Ended under this owner not long ago, with when it was dropped; in order of time beside it.
  std::map<std::string, jobs::job_state> m_forgotten;
  std::deque<std::pair<time_point, std::string>> m_forgotten_since;
  std::vector<std::string> m_just_ended;
  time_point m_now{}; // of the latest tick
  duration m_loop_lateness{0};
  unsigned m_passes = 0;
};
} // namespace yardhill::scheduling
