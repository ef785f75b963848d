// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Model of one incarnation of a worker as the platform documents it: leases on the worker's own
// clock, fencing tokens, runs, and ends that are listed until they are acknowledged. The worker
// executes every valid start request and leaves the accounting of capacity to the scheduler.

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "Http/HttpMessage.h"
#include "Model/AdviceModel.h"
#include "Model/RunJudge.h"

namespace yardhill::model
{
// The course of a run: how long it takes at full speed, whether it fails at its end, and how long
// after its start it crashes its worker, if it does.
struct run_course
{
  common::duration takes{};
  bool fails = false;
  std::optional<common::duration> crashes_after;
};

struct worker_settings
{
  std::string id;
  // Unique per incarnation, also under the same id; the judges identify workers by it.
  std::string life;
  std::int64_t started_wall_ms = 0; // Unix time of the incarnation's start, by its own wall clock
  common::endpoint address;
  std::string zone;
  std::string service = "service";
  std::string rack;
  common::resources capacity;
  std::chrono::milliseconds clock_ahead{0};
  double clock_rate = 1.0; // below 1, its clock is slow
  std::chrono::milliseconds stop_time{200};
};

class worker_model
{
public:
  using course_function =
      std::function<run_course(const task_ref&, run_number, const std::string& worker)>;

  worker_model(common::timekeeper& time, const worker_settings& settings,
               const advice_model& advice, run_judge& judge, course_function course);
  ~worker_model();
  worker_model(const worker_model&) = delete;
  worker_model& operator=(const worker_model&) = delete;

  void handle(const http::request& call, http::reply_handler done);
  // The worker's entry for the store.
  std::string entry(bool draining) const;
  const worker_settings& settings() const { return m_settings; }
  // Sets the jobs' specifications, from which the capacity that runs use is computed.
  void set_specs(const std::map<std::string, jobs::job_spec>& specs) { m_specs = &specs; }
  // Sets the function that is called when a run has crashed the worker; the function ends this
  // incarnation.
  void set_crash_handler(std::function<void()> crashed) { m_crashed = std::move(crashed); }
  // Sets the capacity; the worker's entry shows the new value when it is written next.
  void set_capacity(const common::resources& capacity);
  // The worker's runs that belong to gangs, and the end of the runs of a gang that has lost a
  // member on another worker.
  std::vector<std::pair<task_ref, run_number>> gang_runs() const;
  void break_gang(const task_ref& member, run_number number);
  // Called when an entry with the present capacity has been written.
  void capacity_published();

private:
  struct active_run
  {
    run_number number = 0;
    common::timekeeper::entry end_event = 0;
    common::timekeeper::entry crash_event = 0;
    bool stopping = false;
    std::string checkpoint;
  };

  struct waiting_hold
  {
    http::reply_handler done;
    common::timekeeper::entry timeout = 0;
    bool late = false; // carried out late
  };

  http::reply start(const nlohmann::json& body, bool late, bool late_at_new_incarnation);
  http::reply stop(const nlohmann::json& body);
  void hold(const nlohmann::json& body, bool late, http::reply_handler done);
  void answer_hold(const waiting_hold& which);
  http::reply refusal(const char* reason) const;
  http::reply lists() const;
  void extend_lease(std::int64_t until);
  void expire_lease();
  void finish(const task_ref& task, run_outcome how);
  void check_capacity(const task_ref& task);
  void crash();
  std::int64_t clock_ms() const;

  common::timekeeper& m_time;
  worker_settings m_settings;
  const advice_model& m_advice;
  run_judge& m_judge;
  course_function m_course;
  const std::map<std::string, jobs::job_spec>* m_specs = nullptr;
  std::function<void()> m_crashed;
  // An earlier capacity, which is still permitted until `until`, or without limit while the
  // worker's entry does not show the change.
  struct earlier_capacity
  {
    common::resources capacity;
    std::optional<common::time_point> until;
  };
  std::vector<earlier_capacity> m_earlier_capacities;
  std::uint64_t m_fence = 0;
  std::int64_t m_lease_end = 0; // on the worker's own clock
  common::timekeeper::entry m_lease_expiry_event = 0;
  std::map<task_ref, active_run> m_runs;
  // The highest number of a stopped or ended run, by task.
  std::map<task_ref, run_number> m_highest_finished;
  std::map<scheduling::end_number, scheduling::listed_end> m_ends;
  scheduling::end_number m_last_end = 0;
  std::list<waiting_hold> m_holds;
};
} // namespace yardhill::model
