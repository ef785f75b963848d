// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Workers over their incarnations: each incarnation has an id and an empty memory, and keeps its
// entry in the store.

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "Model/StoreModel.h"
#include "Model/WorkerModel.h"

namespace yardhill::model
{
// How a worker's next incarnation begins.
struct incarnation_plan
{
  bool keeps_id = false;
  std::chrono::milliseconds clock{0};      // initial reading, for an incarnation that keeps its id
  std::chrono::milliseconds wall_ahead{0}; // offset of its wall clock; behind if negative
};

// A machine that runs one incarnation of a worker after the other.
struct fleet_worker
{
  worker_settings settings; // with the id of its present or latest incarnation
  std::string machine;
  std::unique_ptr<worker_model> model; // null between two incarnations
  unsigned incarnations_begun = 0;
  bool listed = false;
  bool draining = false;
  bool shrunk = false;       // its capacity is reduced for a while
  std::string corrupt_entry; // if not empty, stored in place of its own entry
};

class worker_fleet
{
public:
  // `specs`: the jobs' specifications, from which the capacity that runs use is computed.
  worker_fleet(common::timekeeper& time, store_model& store, advice_model& advice, run_judge& judge,
               worker_model::course_function course,
               const std::map<std::string, jobs::job_spec>& specs);

  // Begins the machine's first incarnation, without an entry. References to workers stay valid.
  fleet_worker& add(const std::string& machine, const worker_settings& settings);
  // Begins a new incarnation without an entry, as planned. With a new id, the entry of the previous
  // incarnation is removed if it still exists; with the same id, it stays until the new incarnation
  // writes its own.
  void begin_life(fleet_worker& which);
  // Sets the function that plans each incarnation except a machine's first one. Without it, each
  // incarnation has a new id.
  void set_incarnation_planner(std::function<incarnation_plan()> plan) { m_plan = std::move(plan); }
  // Ends the incarnation and all its runs; its entry stays until it is removed or a new incarnation
  // begins.
  static void end_life(fleet_worker& which);
  // Sets the worker's capacity; its entry shows the new value when it is written next.
  static void set_capacity(fleet_worker& which, const common::resources& capacity);
  // Sets the function that is called for a machine whose worker was crashed by one of its runs.
  void set_crash_handler(std::function<void(fleet_worker&)> crashed)
  {
    m_crashed = std::move(crashed);
  }
  // Writes the worker's entry in its present state; `draining` in it announces that the worker will
  // leave.
  void write_entry(fleet_worker& which);
  void remove_entry(fleet_worker& which);
  // Writes or removes the entry of an earlier incarnation, for writes by that incarnation and
  // removals by the store that take effect late.
  void write_entry_of(const std::string& id, const std::string& text);
  void remove_entry_of(const std::string& id);
  // Handles a call that reaches the machine; between two incarnations there is no answer.
  static void handle(fleet_worker& which, const http::request& call, http::reply_handler done);

  std::deque<fleet_worker>& workers() { return m_workers; }

private:
  // Assigns a new id, or keeps the id and restarts the worker's clock.
  void identify_incarnation(fleet_worker& which, const incarnation_plan& plan);

  common::timekeeper& m_time;
  store_model& m_store;
  advice_model& m_advice;
  run_judge& m_judge;
  worker_model::course_function m_course;
  const std::map<std::string, jobs::job_spec>& m_specs;
  std::function<void(fleet_worker&)> m_crashed;
  std::function<incarnation_plan()> m_plan;
  std::deque<fleet_worker> m_workers;
};
} // namespace yardhill::model
