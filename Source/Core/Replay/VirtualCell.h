// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// A whole cell in virtual time: real decision cores, and models of workers, table and network
// between them. It carries out a trace, and checks after every step what must always hold.

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
  // Told what happens, for reading a run; may be empty.
  std::function<void(time_point, const std::string& who, const std::string& what)> log;
  bool check = true; // off for measurements, where the checks would cost more than the run
};

class virtual_cell
{
public:
  // `document` declares the cell. It is applied, through the first instance, before the trace.
  virtual_cell(const trace& recorded, std::string document, const cell_options& options);
  ~virtual_cell();

  // Carries out the whole trace, or until something that must hold does not.
  void run();

  // To be called after run() of a trace that mends everything it breaks, with time to settle.
  void check_end();

  const run_checker& checker() const { return m_checker; }
  const metrics& counts() const { return m_metrics; }
  const table_model& table() const { return m_table; }
  const cell_config& config() const { return m_config; }
  // Processor time that the cores' steps took, on this machine's clock.
  std::chrono::nanoseconds core_time() const { return m_core_time; }
  std::uint64_t steps() const { return m_steps; }
  // Over samples of every second.
  packing_figures packing() const { return m_packing.mean(); }

private:
  // Defined in VirtualCellParts.h.
  struct live_instance;
  struct held_claim;
  struct worker_host;

  using action = event_queue::action;

  time_point now() const { return m_events.now(); }
  void at(time_point when, action what) { m_events.at(when, std::move(what)); }
  void in(duration delay, action what) { m_events.in(delay, std::move(what)); }
  void log(const std::string& who, const std::string& what) const;

  // Instances
  void start_instance(const std::string& name);
  void end_instance(const std::string& name);
  void deliver(const std::string& name, std::uint64_t life, instance::event what);
  void step(live_instance& instance, const instance::event& what);
  void plan_timer(live_instance& instance);
  void carry_out(live_instance& instance, const std::vector<instance::command>& commands);
  void resume(live_instance& instance);
  void set_link(const std::string& from, const std::string& to, bool up);
  live_instance* living(const std::string& name);
  live_instance* by_id(const instance_id& id);

  // Commands
  void send(live_instance& from, const instance::answer_caller& what);
  void send(live_instance& from, const instance::answer_apply& what);
  void send(live_instance& from, const instance::send_to_peer& what);
  void send(live_instance& from, const instance::send_claim& what);
  void send(live_instance& from, const instance::send_start& what);
  void send(live_instance& from, const instance::send_stop& what);
  void send(live_instance& from, const instance::call_store& what);
  void send(live_instance& from, const instance::log_event& what);
  void send(live_instance& from, const instance::stop_complete& what);

  // Workers
  void claim_arrived(worker_host& worker, held_claim claim);
  void answer_held(worker_host& worker);
  void worker_changed(worker_host& worker);
  void tell_ended(worker_host& worker);
  void tell_checker(worker_host& worker);
  void plan_worker(worker_host& worker);

  worker_host* find_worker(const std::string& name);
  void restart_worker(worker_host& worker, bool dead, const std::string& boot);

  // One for each kind of action
  void carry_out_action(const trace_action& what);
  void submit(const trace_action& what);
  void cancel(const trace_action& what);
  void apply(const trace_action& what);
  void kill(const trace_action& what);
  void start(const trace_action& what);
  void stop(const trace_action& what);
  void pause(const trace_action& what);
  void resume_paused(const trace_action& what);
  void cut(const trace_action& what);
  void heal(const trace_action& what);
  void store_outage(const trace_action& what);
  void store_slow(const trace_action& what);
  void store_lose(const trace_action& what);
  void worker_kill(const trace_action& what);
  void worker_reboot(const trace_action& what);
  void worker_fail(const trace_action& what);
  void worker_leave(const trace_action& what);
  void slow_messages(const trace_action& what);

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
  std::uint64_t m_lives = 0;
  std::uint64_t m_next_request = 1;
  bool m_store_down = false;
  duration m_store_slow{0};
  std::int64_t m_store_lose = 0;
  std::chrono::nanoseconds m_core_time{0};
  std::uint64_t m_steps = 0;
  packing_meter m_packing;
};

} // namespace yardhill::replay
