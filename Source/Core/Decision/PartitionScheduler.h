// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The home of a partition's tasks: takes them in, places them, follows their attempts, answers.
//
// A deterministic state machine. Every call names the time; what is to be done is collected and
// taken with take_output(). Who owns the partition, and which workers answer, is told from outside.

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

  // Takes the declared state over: workers, teams, and the replicas of services homed here.
  void configure(const cell_config& cell, time_point now);

  // --- ownership ---
  // From now on this instance owns the partition. Until `quarantine_until` (or an earlier
  // end_quarantine) an id that is not known here may still run at a worker out of reach.
  void begin_term(term_number term, time_point quarantine_until, time_point now);
  // Somebody else owns it, or nobody: forgets everything; waiting callers are sent on.
  void end_term();
  void end_quarantine(time_point now);
  // The unfinished tasks that the table has. Until then durable ids cannot be judged.
  void records_loaded(const std::vector<stored_task>& tasks, time_point now);
  void set_placement_scope(placement_scope right) { m_right = right; }
  void set_store_down(bool down) { m_store_down = down; }
  // Planned stop: nothing more is started here.
  void stop_placing() { m_placing_stopped = true; }

  // --- workers ---
  // A claim answer. `voided` says that the claim voided all earlier tickets, so that a start not
  // seen by now can never happen.
  void worker_reported(const worker_id& worker, const claim_answer& news, bool voided,
                       time_point now);
  // The worker does not answer; what runs there is over at `lapses` at the latest.
  void worker_lost(const worker_id& worker, time_point lapses, time_point now);
  void start_answered(const worker_id& worker, const start_answer& results, time_point now);
  // The answer to these starts was lost.
  void start_unclear(const worker_id& worker, const std::vector<attempt_id>& attempts);
  // These starts were never sent.
  void start_unsent(const worker_id& worker, const std::vector<attempt_id>& attempts,
                    time_point now);

  // --- callers ---
  // `fresh`: this id cannot have reached an earlier owner.
  void submit(const task_spec& spec, bool fresh, const reply_address& from, time_point now);
  void cancel(const task_id& id, const reply_address& from, time_point now);
  void status(const task_id& id, const reply_address& from);

  // --- table service ---
  void written(const record_write_result& result, time_point now);

  // Timers and placements; to be called after each event and when next_timer() has come.
  void advance(time_point now);
  time_point next_timer() const;
  scheduler_output take_output();

  // The highest sequence of the worker's ended attempts such that all up to it are settled.
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
    std::uint64_t sequence; // of the record, so that a timer of an earlier one does nothing
  };

  // Acceptance
  std::optional<answer> find_refusal(const task_spec& spec, time_point now) const;
  void join(task_record& task, const task_spec& spec, const reply_address& from);
  void accept(const task_spec& spec, bool fresh, const reply_address& from, time_point now);
  void enqueue(task_record& task, time_point now);
  void leave_queue(task_record& task);
  answer stopped_while_waiting(const task_record& task) const;
  std::optional<answer> find_shape_refusal(const task_spec& spec) const;
  std::optional<answer> find_load_refusal(const task_spec& spec) const;
  void apply_replicas(time_point now);
  void ensure_replica(const task_spec& spec, time_point now);

  // Runs
  void carry_out(const pass_result& result, time_point now);
  void begin_attempt(task_record& task, const std::vector<std::size_t>& workers, time_point now);
  void send_attempt(task_record& task, time_point now);
  void withdraw_attempt(task_record& task);
  void confirm_running(task_record& task, std::size_t member, std::uint64_t moment, time_point now);
  void member_not_started(task_record& task, std::size_t member, start_refusal refusal,
                          time_point now);
  void member_over(task_record& task, std::size_t member, const ended_attempt& end, time_point now);
  void member_vanished(task_record& task, std::size_t member, time_point now);
  void release_member(task_record& task, std::size_t member);
  void judge_worker(task_record& task, const member_run& member, time_point now);
  void stop_again(const task_record& task, std::size_t member);
  void stop_members(task_record& task, stop_cause cause, bool checkpoint);
  void conclude_attempt(task_record& task, time_point now);
  void retry(task_record& task, retry_reason why, bool counts, time_point now);
  std::optional<duration> retry_delay(const task_record& task, retry_reason why);
  void refuse_retry(task_record& task, time_point now);
  void fail_for_good(task_record& task, time_point now);
  void finish(task_record& task, answer result, time_point now);
  void leave_active(const task_record& task);
  void settle_members(const task_record& task);

  // Workers' news
  void check_silent_members(const worker_id& worker, const claim_answer& news, bool voided,
                            time_point now);

  // Records
  void accept_written(task_record& task, const record_write_result& result, time_point now);
  void intent_written(task_record& task, record_write_status status, time_point now);
  void found(const record_write_result& result);
  void take_known(task_record& task, const stored_task& known, time_point now);
  void write(task_record& task, record_change change);

  // Recovery
  void adopt_running(const worker_id& worker, const running_attempt& running,
                     const claim_answer& news, time_point now);
  void adopt_ended(const worker_id& worker, const ended_attempt& ended, time_point now);
  task_record* adopt_task(const attempt_id& id, const std::string& spec_text, time_point now);
  void resolve_intent(task_record& task, time_point now);
  void release_held(time_point now);

  // Answers
  void reply(const reply_address& to, const answer& value);
  void reply_to_waiters(task_record& task, const answer& value);
  answer current_answer(const task_record& task) const;
  void note(const task_record& task, std::string_view step, std::string detail);

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
  drain_rate m_drain;
  task_table m_tasks;
  placement_pass m_pass;
  cell_config m_cell;
  std::multimap<time_point, timer> m_timers;
  worker_inboxes m_inboxes;
  std::unordered_map<task_id, std::vector<reply_address>> m_finding; // asked of the table
  scheduler_output m_output;
  placement_scope m_right = placement_scope::none;
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
