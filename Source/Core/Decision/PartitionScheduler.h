// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Scheduler of one partition: accepts the partition's tasks, places them on workers, tracks their
// attempts and answers callers.
//
// The scheduler is a deterministic state machine without I/O. Every call passes the current time;
// the resulting actions are collected and fetched with take_output(). The instance that holds the
// scheduler reports to it whether the partition is owned and which workers answer.

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/CellConfig.h"
#include "Common/Metrics.h"
#include "Common/Options.h"
#include "Common/WorkerMessages.h"
#include "Decision/DrainRate.h"
#include "Decision/PlacementPass.h"
#include "Decision/RetryBudget.h"
#include "Decision/RunEstimator.h"
#include "Decision/SchedulerOutput.h"
#include "Decision/TaskTable.h"
#include "Decision/TeamShares.h"
#include "Decision/WaitingQueue.h"
#include "Decision/WorkerInboxes.h"
#include "Decision/WorkerPool.h"

namespace yardhill::decision
{
class partition_scheduler
{
public:
  partition_scheduler(partition_id partition, const scheduling_options& options,
                      const placement_policy& policy, metrics& counts);

  // Applies a configuration: the partition's workers, the teams, and the service replicas that
  // belong to this partition.
  void configure(const cell_config& cell, time_point now);

  // --- ownership ---
  // Starts ownership of the partition by this instance. Until `quarantine_until`, or an earlier
  // end_quarantine(), a task that this scheduler does not know may still be running on an
  // unreachable worker.
  void begin_term(term_number term, time_point quarantine_until, time_point now);
  // Ends ownership: another instance owns the partition, or none does. Drops all tasks; waiting
  // callers get a reply marked `moved`, which sends them to the new owner.
  void end_term();
  void end_quarantine(time_point now);
  // Passes in the unfinished tasks stored in the table. Before this call the scheduler cannot tell
  // whether the key of a durable task is already known.
  void records_loaded(const std::vector<stored_task>& tasks, time_point now);
  void set_placement_scope(placement_scope scope) { m_placement_scope = scope; }
  void set_store_down(bool down) { m_store_down = down; }
  // For a planned shutdown: no further attempts are started.
  void stop_placing() { m_placing_stopped = true; }

  // --- workers ---
  // Applies a worker's answer to a claim. `tickets_voided` is true if the claim voided all earlier
  // tickets, so that a start request that has not reached the worker by now can never take effect.
  void worker_reported(const worker_id& worker, const claim_answer& report, bool tickets_voided,
                       time_point now);
  // The worker does not answer; its attempts have ended by `lease_end` at the latest.
  void worker_lost(const worker_id& worker, time_point lease_end, time_point now);
  void start_answered(const worker_id& worker, const start_answer& results, time_point now);
  // The answer to these start requests was lost.
  void start_unclear(const worker_id& worker, const std::vector<attempt_id>& attempts);
  // These start requests were never sent.
  void start_unsent(const worker_id& worker, const std::vector<attempt_id>& attempts,
                    time_point now);

  // --- callers ---
  // `fresh` is true if the task's id cannot have reached an earlier owner of the partition.
  void submit(const task_spec& spec, bool fresh, const reply_address& from, time_point now);
  void cancel(const task_id& id, const reply_address& from, time_point now);
  void status(const task_id& id, const reply_address& from);

  // --- table service ---
  void written(const record_write_result& result, time_point now);

  // Fires due timers and runs a placement pass if one is due. Call advance() after each event and
  // when the time of next_timer() is reached.
  void advance(time_point now);
  time_point next_timer() const;
  scheduler_output take_output();

  // Returns the highest sequence number N such that all of the worker's ended attempts up to N
  // are settled. The worker may forget these attempts.
  std::uint64_t settled_up_to(const worker_id& worker) const
  {
    return m_inboxes.settled_up_to(worker);
  }

  const worker_pool& pool() const { return m_pool; }
  std::size_t queued() const { return m_queue.size(); }
  std::size_t active() const { return m_active; }
  bool idle() const { return m_queue.size() == 0 && m_active == 0; }
  task_table& tasks() { return m_tasks; }

private:
  enum class timer_kind
  {
    deadline,
    retry,
    lapse
  };
  struct timer
  {
    timer_kind kind;
    task_id task;
    // Sequence number of the task's record. A timer of an earlier record with the same id is
    // ignored.
    std::uint64_t sequence;
  };

  // Acceptance
  std::optional<answer> find_refusal(const task_spec& spec, time_point now) const;
  void join(task_record& task, const task_spec& spec, const reply_address& from);
  void accept(const task_spec& spec, bool fresh, const reply_address& from, time_point now);
  void enqueue(task_record& task, time_point now);
  void remove_from_queue(task_record& task);
  answer stopped_while_waiting(const task_record& task) const;
  std::optional<answer> find_demand_refusal(const task_spec& spec) const;
  std::optional<answer> find_load_refusal(const task_spec& spec) const;
  void apply_replicas(time_point now);
  void ensure_replica(const task_spec& spec, time_point now);

  // Runs
  void apply_pass_result(const pass_result& result, time_point now);
  void begin_attempt(task_record& task, const std::vector<std::size_t>& workers, time_point now);
  void send_attempt(task_record& task, time_point now);
  void withdraw_attempt(task_record& task);
  void confirm_running(task_record& task, std::size_t member, std::uint64_t change_count,
                       time_point now);
  void member_not_started(task_record& task, std::size_t member, start_refusal refusal,
                          time_point now);
  void member_ended(task_record& task, std::size_t member, const ended_attempt& end,
                    time_point now);
  void member_lapsed(task_record& task, std::size_t member, time_point now);
  void release_member(task_record& task, std::size_t member);
  void update_circuit(task_record& task, const member_run& member, time_point now);
  void resend_stop(const task_record& task, std::size_t member);
  void stop_members(task_record& task, stop_cause cause, bool checkpoint);
  void conclude_attempt(task_record& task, time_point now);
  void retry(task_record& task, retry_reason reason, bool counts_as_failure, time_point now);
  std::optional<duration> retry_delay(const task_record& task, retry_reason reason);
  void fail_without_retry(task_record& task, time_point now);
  void fail_for_good(task_record& task, time_point now);
  void finish(task_record& task, answer result, time_point now);
  void decrement_active(const task_record& task);
  void settle_members(const task_record& task);

  // Worker reports
  void check_unreported_members(const worker_id& worker, const claim_answer& report,
                                bool tickets_voided, time_point now);

  // Records
  void accept_written(task_record& task, const record_write_result& result, time_point now);
  void intent_written(task_record& task, record_write_status status, time_point now);
  void lookup_answered(const record_write_result& result);
  void adopt_stored_task(task_record& task, const stored_task& known, time_point now);
  void write(task_record& task, record_change change);

  // Recovery
  void adopt_running(const worker_id& worker, const running_attempt& running,
                     const claim_answer& report, time_point now);
  void adopt_ended(const worker_id& worker, const ended_attempt& ended, time_point now);
  task_record* adopt_task(const attempt_id& id, const std::string& spec_text, time_point now);
  void resolve_intent(task_record& task, time_point now);
  void release_held(time_point now);

  // Answers
  void reply(const reply_address& to, const answer& value);
  void reply_to_waiters(task_record& task, const answer& value);
  answer current_answer(const task_record& task) const;
  void log_task_event(const task_record& task, std::string_view step, std::string detail);

  void deadline_passed(task_record& task, time_point now);
  void fire(const timer& due, time_point now);
  void add_timer(time_point at, timer_kind kind, const task_record& task);
  member_run* member_of(const attempt_id& id, const worker_id& worker);

  partition_id m_partition;
  const scheduling_options& m_options;
  metrics& m_metrics;
  worker_pool m_pool;
  waiting_queue m_queue;
  team_shares m_shares;
  run_estimator m_estimator;
  retry_budget m_budget;
  drain_rate m_drain_rate;
  task_table m_tasks;
  placement_pass m_pass;
  cell_config m_cell;
  std::multimap<time_point, timer> m_timers;
  worker_inboxes m_inboxes;
  // Status requests that wait for a lookup in the table.
  std::unordered_map<task_id, std::vector<reply_address>> m_pending_lookups;
  scheduler_output m_output;
  placement_scope m_placement_scope = placement_scope::none;
  bool m_owned = false;
  bool m_records_complete = false;
  bool m_store_down = false;
  bool m_placing_stopped = false;
  bool m_pass_due = false;
  time_point m_quarantine_until{};
  time_point m_next_pass = k_never;
  attempt_number m_last_attempt = 0;
  std::size_t m_active = 0;
};
} // namespace yardhill::decision
