// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// A whole cell in virtual time: real instance cores, connected by models of the workers, the table
// service and the network. Runs a trace and checks the invariants after every step.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Common/CellConfig.h"
#include "Common/Metrics.h"
#include "Common/Options.h"
#include "Instance/InstanceCore.h"
#include "Replay/EventQueue.h"
#include "Replay/NetworkModel.h"
#include "Replay/PackingMeter.h"
#include "Replay/RunChecker.h"
#include "Replay/TableModel.h"
#include "Replay/Trace.h"
#include "Replay/WorkerModel.h"

namespace yardhill::replay
{
struct cell_options
{
  core_options core;
  const decision::placement_policy* policy = &decision::k_yardhill_policy;
  table_limits limits;
  duration link_latency = std::chrono::microseconds{500};
  duration store_latency = std::chrono::milliseconds{3};
  // Receives a line for each logged event, to follow a run; may be empty.
  std::function<void(time_point, const std::string& source, const std::string& message)> log;
  bool check = true; // off for measurements: the checks would cost more than the run itself
};

class virtual_cell
{
public:
  // `document` is the cell configuration. It is applied through the first instance before the
  // trace.
  virtual_cell(const trace& recorded, std::string document, const cell_options& options);
  ~virtual_cell();

  // Runs the trace to its end, or until an invariant is violated.
  void run();

  // Checks the final state. Call after run(), for traces that repair every fault and then leave the
  // cell time to recover.
  void check_end();

  const run_checker& checker() const { return m_checker; }
  const metrics& counts() const { return m_metrics; }
  const table_model& table() const { return m_table; }
  const cell_config& config() const { return m_config; }
  // The time that the cores' steps took, by this machine's steady clock.
  std::chrono::nanoseconds core_time() const { return m_core_time; }
  std::uint64_t steps() const { return m_steps; }
  // The mean over one sample per second of virtual time.
  packing_figures packing() const { return m_packing.mean(); }

private:
  // Defined in VirtualCellParts.h.
  struct live_instance;
  struct held_claim;
  struct worker_host;

  using action = event_queue::action;

  time_point now() const { return m_events.now(); }
  void at(time_point when, action callback) { m_events.at(when, std::move(callback)); }
  void in(duration delay, action callback) { m_events.in(delay, std::move(callback)); }
  void log(const std::string& source, const std::string& message) const;

  // Instances
  void start_instance(const std::string& name);
  void end_instance(const std::string& name);
  void deliver(const std::string& name, std::uint64_t incarnation, instance::event incoming);
  void step(live_instance& instance, const instance::event& incoming);
  void schedule_timer(live_instance& instance);
  void execute(live_instance& instance, const std::vector<instance::command>& commands);
  void resume(live_instance& instance);
  void set_link(const std::string& from, const std::string& to, bool up);
  live_instance* find_instance(const std::string& name);
  live_instance* find_instance_by_id(const instance_id& id);

  // Commands
  void send(live_instance& from, const instance::answer_caller& command);
  void send(live_instance& from, const instance::answer_apply& command);
  void send(live_instance& from, const instance::send_to_peer& command);
  void send(live_instance& from, const instance::send_claim& command);
  void send(live_instance& from, const instance::send_start& command);
  void send(live_instance& from, const instance::send_stop& command);
  void send(live_instance& from, const instance::call_store& command);
  void send(live_instance& from, const instance::log_event& command);
  void send(live_instance& from, const instance::stop_complete& command);

  // Workers
  void handle_claim(worker_host& worker, held_claim claim);
  void answer_held_claims(worker_host& worker);
  void handle_worker_change(worker_host& worker);
  void report_ended(worker_host& worker);
  void report_starts(worker_host& worker);
  void schedule_worker(worker_host& worker);

  worker_host* find_worker(const std::string& name);
  void restart_worker(worker_host& worker, bool dead, const std::string& boot);

  // One handler for each kind of trace action
  void execute_action(const trace_action& trace_entry);
  void submit(const trace_action& trace_entry);
  void cancel(const trace_action& trace_entry);
  void apply(const trace_action& trace_entry);
  void kill(const trace_action& trace_entry);
  void start(const trace_action& trace_entry);
  void stop(const trace_action& trace_entry);
  void pause(const trace_action& trace_entry);
  void resume_paused(const trace_action& trace_entry);
  void cut(const trace_action& trace_entry);
  void heal(const trace_action& trace_entry);
  void store_outage(const trace_action& trace_entry);
  void store_slow(const trace_action& trace_entry);
  void store_lose(const trace_action& trace_entry);
  void worker_kill(const trace_action& trace_entry);
  void worker_reboot(const trace_action& trace_entry);
  void worker_fail(const trace_action& trace_entry);
  void worker_leave(const trace_action& trace_entry);
  void slow_messages(const trace_action& trace_entry);

  void sample_packing();
  void log_homes() const;

  cell_options m_options;
  trace m_trace;
  std::string m_document;
  cell_config m_config;
  event_queue m_events;
  network_model m_network;
  metrics m_metrics;
  table_model m_table;
  run_checker m_checker;
  std::map<std::string, std::unique_ptr<live_instance>> m_instances;
  std::map<std::string, zone_id> m_zones;
  std::map<std::string, std::unique_ptr<worker_host>> m_workers;
  std::uint64_t m_incarnations = 0;
  std::uint64_t m_next_request = 1;
  bool m_store_down = false;
  duration m_store_extra_latency{0};
  std::int64_t m_store_replies_to_lose = 0;
  std::chrono::nanoseconds m_core_time{0};
  std::uint64_t m_steps = 0;
  packing_meter m_packing;
};

} // namespace yardhill::replay
