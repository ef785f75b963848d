// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// One life of a worker as the platform's pages describe it: leases on its own clock, fences, runs,
// ends until they are acknowledged. It starts whatever it is told and leaves room to the scheduler.

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
// How a run goes: how long it takes at full speed, whether it fails at its end, and how long after
// its beginning it crashes its worker, if it does.
struct run_course
{
  common::duration takes{};
  bool fails = false;
  std::optional<common::duration> crashes_after;
};

struct worker_settings
{
  std::string id;
  std::string life;         // another one for each life, also under the same id; what judges go by
  std::int64_t born_ms = 0; // Unix time of the life's start, on its own clock
  common::endpoint address;
  std::string zone;
  std::string service = "service";
  std::string rack;
  common::resources capacity;
  std::chrono::milliseconds clock_ahead{0};
  double clock_rate = 1.0; // its clock may be slow
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
  // Its entry in the store.
  std::string entry(bool draining) const;
  const worker_settings& settings() const { return m_settings; }
  // The jobs' steps, for the room that runs take.
  void set_specs(const std::map<std::string, jobs::job_spec>& specs) { m_specs = &specs; }
  // Called when a run has crashed the worker; it ends this life.
  void set_crash_handler(std::function<void()> crashed) { m_crashed = std::move(crashed); }
  // Its room from now on; its entry tells it once it is written again.
  void set_capacity(const common::resources& capacity);
  // Its runs of gangs, and what becomes of the runs of a gang that has lost a member elsewhere.
  std::vector<std::pair<task_ref, run_number>> gang_runs() const;
  void break_gang(const task_ref& member, run_number number);
  // The entry that tells of its room as it is now has been written.
  void room_told();

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
  };

  http::reply start(const nlohmann::json& body, bool late_at_new_life);
  http::reply stop(const nlohmann::json& body);
  void hold(const nlohmann::json& body, http::reply_handler done);
  http::reply refusal(const char* reason) const;
  http::reply lists() const;
  void extend_lease(std::int64_t until);
  void lapse();
  void finish(const task_ref& task, run_outcome how);
  void check_room(const task_ref& task);
  void crash();
  std::int64_t clock_ms() const;

  common::timekeeper& m_time;
  worker_settings m_settings;
  const advice_model& m_advice;
  run_judge& m_judge;
  course_function m_course;
  const std::map<std::string, jobs::job_spec>* m_specs = nullptr;
  std::function<void()> m_crashed;
  // A larger room that it had counts until then; none while its entry does not tell of its loss.
  struct earlier_room
  {
    common::resources capacity;
    std::optional<common::time_point> until;
  };
  std::vector<earlier_room> m_earlier_rooms;
  std::uint64_t m_fence = 0;
  std::int64_t m_lease_end = 0; // on its own clock
  common::timekeeper::entry m_lapse_event = 0;
  std::map<task_ref, active_run> m_runs;
  std::map<task_ref, run_number> m_past; // the highest run stopped or ended
  std::map<scheduling::end_number, scheduling::listed_end> m_ends;
  scheduling::end_number m_last_end = 0;
  std::list<waiting_hold> m_holds;
};
} // namespace yardhill::model
