// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Workers over their lives: each life has an id and a fresh memory, and keeps its entry in the
// store.

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "Model/StoreModel.h"
#include "Model/WorkerModel.h"

namespace yardhill::model
{
// How the next life of a worker begins.
struct incarnation_plan
{
  bool keeps_id = false;
  std::chrono::milliseconds clock{0};      // of one that keeps its id: what it shows at first
  std::chrono::milliseconds wall_ahead{0}; // its time of day is so far ahead, or behind
};

// A machine that runs one life of a worker after the other.
struct fleet_worker
{
  worker_settings settings; // with the id of its present or latest life
  std::string machine;
  std::unique_ptr<worker_model> model; // none between two lives
  unsigned life = 0;
  bool listed = false;
  bool draining = false;
  bool shrunk = false;      // it has less room for a while
  std::string broken_entry; // stands in place of its own, if not empty
};

class worker_fleet
{
public:
  // `specs`: the jobs' steps, for the room that runs take.
  worker_fleet(common::timekeeper& time, store_model& store, advice_model& advice, run_judge& judge,
               worker_model::course_function course,
               const std::map<std::string, jobs::job_spec>& specs);

  // Begins the machine's first life, without an entry. Workers stay where they are in memory.
  fleet_worker& add(const std::string& machine, const worker_settings& settings);
  // A new life without an entry begins, as planned. The latest one's entry goes, if it is still
  // there; that of the same id stays until the new life writes its own.
  void begin_life(fleet_worker& which);
  // Asked at each new life but a machine's first one. Without it, each has a new id.
  void set_incarnation_planner(std::function<incarnation_plan()> plan) { m_plan = std::move(plan); }
  // All that runs there dies; its entry stays until it is removed or a new life begins.
  static void end_life(fleet_worker& which);
  // From now on it has so much room; its entry tells it when it is written again.
  static void set_capacity(fleet_worker& which, const common::resources& capacity);
  // What becomes of a machine whose worker has been crashed by what it ran.
  void set_crash_handler(std::function<void(fleet_worker&)> crashed)
  {
    m_crashed = std::move(crashed);
  }
  // As it is now; `draining` says that it leaves.
  void write_entry(fleet_worker& which);
  void remove_entry(fleet_worker& which);
  // The entry of an earlier life, which its own writes and the store's clearing reach late.
  void write_entry_of(const std::string& id, const std::string& text);
  void remove_entry_of(const std::string& id);
  // A call that reaches the machine; nobody answers between two lives.
  static void handle(fleet_worker& which, const http::request& call, http::reply_handler done);

  std::deque<fleet_worker>& workers() { return m_workers; }

private:
  // Another id, or the same one and a clock that begins anew.
  void name_life(fleet_worker& which, const incarnation_plan& plan);

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
