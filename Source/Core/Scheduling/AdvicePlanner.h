// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Decides when to request advice, that is, which workers a queue's policy permits for a step, and
// stores the tickets and permissions of the replies.

#include <array>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "Scheduling/Reservations.h"
#include "Scheduling/SchedulerState.h"
#include "Scheduling/StartRules.h"
#include "Scheduling/ZoneChooser.h"

namespace yardhill::scheduling
{
class advice_planner
{
public:
  advice_planner(scheduler_state& state, const zone_chooser& zones, const reservations& reserved,
                 const start_rules& rules);

  // Requests advice for a step with waiting tasks, about workers that have free capacity for a task
  // but no ticket yet.
  void want(job_record& job, std::uint32_t cycle, std::uint32_t step, time_point now);
  // The same for running tasks of a step that need another worker, to move there or for a copy.
  void want_for_running(job_record& job, const std::vector<task_place>& running, time_point now);
  struct service_capacity
  {
    std::int64_t idle_cpu_millis = 0; // of all workers together
    common::resources largest_free;   // in each dimension, that of the worker that has most of it
  };
  // Begins a pass. Its requests by want() and want_for_running() are limited: what the tasks of
  // each request need is subtracted from the idle processor capacity of their service, and nothing
  // is requested for the service once that is used up.
  void begin_pass(std::map<std::string, service_capacity> by_service);
  // Requests advice for steps of the job that should become ready soon.
  void look_ahead(job_record& job, time_point now);
  // Like want(), for a step that has not been asked about for too long. It ignores the budget,
  // which more urgent steps may have used up. Returns whether a request was sent.
  bool request_overdue(job_record& job, std::uint32_t cycle, std::uint32_t step, time_point now);
  // Whether an overdue request for the step could be sent now, as far as its earlier requests and
  // the calls in flight go. While requests of want() lack slots, every other free slot is left to
  // them, so that neither delays the other without bound.
  bool can_request_overdue(const job_record& job, std::uint32_t cycle, std::uint32_t step,
                           time_point now) const;
  // Called after the overdue requests of a pass, before its other requests.
  void begin_requests_in_order();
  static bool needs_long_call(const job_record& job);
  // Stores the tickets and permissions of a reply. Delays the step's next request if there was no
  // reply or the policy permits none of the workers.
  void on_answer(const advice_answer& answer, time_point now);
  // Limits how many long and short advice calls may be in flight.
  void set_slots(const advice_slots& slots) { m_call_slots = slots; }

private:
  // Why advice is requested for a step.
  enum class request_reason
  {
    first_long_call, // its tasks wait, calls are slow, and no permissions are known yet
    waiting,         // its tasks wait
    ahead            // it should become ready soon
  };

  struct pending_request
  {
    bool is_long = false;
    time_point reply_due;
    std::map<worker_id, std::uint64_t> incarnations; // of the workers asked about, when asked
  };

  struct candidate
  {
    const worker_record* worker = nullptr;
    double expected_tasks =
        0.0; // that it should take if it is asked about; 0: it can take none now
  };

  // The tasks of a step for which workers are wanted.
  struct step_need
  {
    step_ref step;
    std::uint32_t tasks = 0;
    std::vector<task_place> places; // those that may differ in the workers on which they may start
  };

  // The waiting tasks, as many as may start by the limit of the job's workspace.
  static step_need need_of_waiting(const job_record& job, const step_ref& which);
  // How many tasks the worker should take if it is asked about; `fitting` of them fit now.
  double expected_tasks(const job_record& job, const step_record& step, const worker_record& worker,
                        std::uint32_t fitting, request_reason reason) const;
  // Learns from the workers of which it was not known whether they are permitted.
  void learn_permitted_share(const job_record& job, const step_permits& permits,
                             const advice_answer& answer);
  std::vector<worker_id> candidate_workers(const job_record& job, const step_need& need,
                                           request_reason reason, time_point now) const;
  // For how many times the waiting tasks a call should bring tickets.
  double margin_after(unsigned fruitless_replies) const;
  // The waiting tasks of the step that differ in the workers on which they may start.
  static std::vector<task_place> distinct_waiting_tasks(const job_record& job,
                                                        const step_ref& which);
  // Whether the task could start on the worker once there is a ticket, now or, depending on the
  // reason, a little later.
  bool worth_naming(const worker_record& worker, const job_record& job, const task_place& place,
                    request_reason reason, time_point now) const;
  // Whether the worker is reserved for the step and should have the capacity when the reply
  // arrives.
  bool reserved_in_time(const worker_record& worker, const job_record& job, const step_ref& which,
                        time_point now) const;
  bool slot_free(bool is_long_call) const;
  // Of short and of long calls, by needs_long_call().
  struct call_kind
  {
    bool ordered_request_lacked_slot =
        false; // a request of want() found no free slot in the latest pass
    bool overdue_used_latest_slot =
        false; // an overdue request took a slot since want() last got one
  };
  call_kind& kind_of(const job_record& job)
  {
    return m_call_kinds.at(needs_long_call(job) ? 1 : 0);
  }
  static request_reason reason_for(const job_record& job, const step_record& step);
  void request_within_budget(job_record& job, const step_need& need, time_point now);
  // Whether no worker can have room for a task of the step, as far as is known without a search.
  bool surely_no_room(const service_capacity& capacity, const step_need& need,
                      const step_record& step) const;
  // Sends a request of want() or want_for_running(), which come in the order of the steps.
  void send_in_order(job_record& job, const step_need& need, request_reason reason, time_point now);
  void send_request(job_record& job, const step_need& need, request_reason reason, time_point now);
  // Records and logs how much the reply is worth to the waiting tasks of its step.
  void log_reply(job_record& job, const advice_answer& answer, time_point now) const;
  // Whether the worker's present incarnation is the one that the request was about.
  bool same_incarnation(const pending_request& request, const worker_id& worker) const;
  bool ready_soon(job_record& job, std::uint32_t cycle, std::uint32_t step, time_point now) const;

  scheduler_state& m_state;
  const zone_chooser& m_zones;
  const reservations& m_reservations;
  const start_rules& m_rules;
  std::map<std::string, service_capacity> m_capacity; // that is left in this pass, by service
  std::size_t m_vain_searches = 0;                    // in this pass, for workers to name
  advice_slots m_call_slots;
  std::array<call_kind, 2> m_call_kinds;
  std::map<step_ref, pending_request> m_in_flight;
  // The share of workers that the policy permits, by queue.
  std::map<std::string, double> m_permitted_shares;
};
} // namespace yardhill::scheduling
