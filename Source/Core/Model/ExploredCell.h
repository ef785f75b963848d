// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// A whole cell in virtual time: four instances that run the production code against models of the
// store, the workers, the advice service, the network and the callers.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "Model/AdviceModel.h"
#include "Model/CallerModel.h"
#include "Model/ProcessorModel.h"
#include "Model/RunJudge.h"
#include "Model/StoreModel.h"
#include "Model/VirtualNetwork.h"
#include "Model/VirtualTime.h"
#include "Model/WorkerFleet.h"
#include "Model/WorkspaceModel.h"
#include "Node/NodeCore.h"

namespace yardhill::model
{
// An instance and its process.
struct explored_instance
{
  std::string name;
  std::string zone;
  std::shared_ptr<processor_model> processor; // if null, processing takes no time
  std::unique_ptr<process_time> time;
  std::unique_ptr<network_sender> sender;
  std::unique_ptr<common::metrics> metrics;
  time_point started{};
  // Connections of callers that wait for an answer; an empty responder has been answered.
  std::vector<std::shared_ptr<http::responder>> connections;
  std::unique_ptr<node::node_core> core; // last member, since it must be destroyed first

  bool up() const { return core != nullptr; }
};

class explored_cell
{
public:
  static constexpr std::size_t k_zones = 3;

  // The number of workers is proportional to `partitions`. With `costs`, the instances' work takes
  // processor time.
  explicit explored_cell(std::uint64_t seed, std::size_t partitions = 1,
                         std::optional<processor_costs> costs = std::nullopt);
  explored_cell(const explored_cell&) = delete;
  explored_cell& operator=(const explored_cell&) = delete;

  virtual_time& time() { return m_time; }
  virtual_network& network() { return m_network; }
  store_model& store() { return m_store; }
  run_judge& judge() { return m_judge; }
  caller_model& callers() { return m_callers; }
  worker_fleet& fleet() { return m_fleet; }
  std::deque<fleet_worker>& workers() { return m_fleet.workers(); }
  std::vector<explored_instance>& instances() { return m_instances; }
  time_point begin() const { return m_begin; }

  // Random values determined by the seed: a number, a time, an instance that is up (null if none
  // is).
  std::uint64_t draw(std::uint64_t below) { return m_random() % below; }
  duration draw_time(std::chrono::milliseconds least, std::chrono::milliseconds most);
  explored_instance* any_up();

  // Writes the operator's next configuration, with the same queues plus `unused_queues` that nobody
  // uses, each of which makes the row about 0.25 KB longer.
  void configure(std::uint64_t version, std::size_t unused_queues = 0);
  // From now on the cell has workspaces, and callers need keys. Called before anything runs.
  void add_workspaces(std::uint64_t seed, bool instances_see_limits, bool instances_see_keys);
  // Adds workers, and a queue with long calls for advice that permit few workers. Called before
  // anything runs.
  void make_advice_scarce(bool usable_tickets);
  // Null if the cell has none.
  workspace_model* workspaces() { return m_workspaces ? &*m_workspaces : nullptr; }
  // Writes the next configuration version with the workspaces as they are now.
  void reconfigure();
  // The newest configuration version that had been written by that time; 0 if there was none.
  std::uint64_t version_written_by(time_point when) const;
  void start_instance(explored_instance& which);
  // From now on all processes read a clock that stops while their machine is suspended.
  void read_suspended_clocks();
  // Kills the instance's process; its links to other instances and the callers' connections to it
  // break.
  void end_instance(explored_instance& which);
  // Notifies both instances that the link between them is up or has broken.
  void link(explored_instance& one, explored_instance& other, bool up);
  void start_worker(fleet_worker& which);
  // Writes the worker's entry, or removes it if the worker is down or can't reach the store.
  void update_entry(fleet_worker& which);

private:
  void add_workers(std::size_t count);
  // The course of a run, which is determined by the seed.
  run_course course_of(const task_ref& task, run_number run, const std::string& worker) const;
  void worker_crashed(fleet_worker& which);
  void tick(explored_instance& which);
  // Whether the store has the job as accepted; false for a refusal's mark or no row in its place.
  bool is_stored(const std::string& job) const;
  // Whether tasks of the step run, and not as many as the step permits of them on that worker.
  bool below_step_limit(const std::string& step, const std::string& worker) const;
  // The instance that a caller contacts: often one that has just started, if there is one.
  explored_instance* choose_contacted_instance();
  // Delivers a caller's request to an instance that is up; returns false if none is.
  bool deliver_request(http::incoming_request request, http::responder respond);

  virtual_time m_time;
  std::mt19937_64 m_random;
  virtual_network m_network;
  advice_model m_advice;
  store_model m_store;
  run_judge m_judge;
  caller_model m_callers;
  std::uint64_t m_seed;
  worker_fleet m_fleet;
  std::vector<explored_instance> m_instances;
  // The versions of the operator's configuration, by the time of writing.
  std::map<time_point, std::uint64_t> m_configurations;
  std::optional<workspace_model> m_workspaces;
  // Whether the configuration contains the limits, and that callers need keys.
  bool m_limits_configured = true;
  bool m_keys_configured = true;
  bool m_scarce_advice = false;
  std::uint64_t m_incarnations = 0;
  std::optional<processor_costs> m_costs;
  bool m_suspended_clocks = false;
  time_point m_begin;
};
} // namespace yardhill::model
