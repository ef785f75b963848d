// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// A partition's scheduler under test: virtual time, workers and jobs made up by the test, the
// commands sorted by kind.

#include <memory>
#include <string>
#include <vector>

#include "Scheduling/JobScheduler.h"

namespace yardhill::scheduling
{
class scheduler_harness
{
public:
  explicit scheduler_harness(run_number first_run = 0);

  time_point now{std::chrono::seconds{1000}};
  scheduler_options options;
  common::metrics metrics;
  std::unique_ptr<job_scheduler> scheduler;

  // Commands since the last step or take.
  std::vector<start_command> starts;
  std::vector<stop_command> stops;
  std::vector<hold_command> holds;
  std::vector<pace_command> paces;
  std::vector<advice_command> questions;

  void pass(duration time);
  // Ticks; the commands are added to those above.
  void step();
  void clear();

  static worker_info worker(const std::string& id, std::int64_t cpu_millis = 16000);
  static jobs::accepted_job job(const std::string& id, std::vector<jobs::step_spec> steps);
  static jobs::step_spec step_of(std::uint32_t count, std::int64_t cpu_millis = 1000);
  void set_policy(const jobs::queue_policy& policy);
  // A worker that has answered its first hold and runs nothing.
  void add_worker(const worker_info& info);
  // A job of one step whose tasks are started as far as there is room.
  void start_job(const std::string& id, const jobs::step_spec& step);

  // The worker's clock: half a minute behind ours.
  worker_clock_time clock() const;
  void answer_hold(const std::string& worker, std::vector<listed_run> running,
                   std::vector<listed_end> ended = {}, end_number acknowledged = 0);
  void answer_start(const start_command& order, call_end end);
  void answer_stop(const stop_command& order, call_end end);
  // Everything that there is to write is written.
  void commit();

  static listed_run running(const start_command& order);
  static listed_end ended(end_number number, const start_command& order, run_end how,
                          const std::string& checkpoint = {});
};
} // namespace yardhill::scheduling
