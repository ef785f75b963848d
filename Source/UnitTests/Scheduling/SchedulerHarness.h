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
  static constexpr const char* k_job = "0123456789abcdef";
  static constexpr const char* k_other_job = "0123456789abcde0";

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

  // w1 is the only worker, and the start of k_job's first task was sent to it.
  void send_first_start(const jobs::step_spec& step = step_of(1));

  // The worker's clock: half a minute behind ours.
  worker_clock_time clock() const;
  void answer_hold(const std::string& worker, std::vector<listed_run> running,
                   std::vector<listed_end> ended = {}, end_number acknowledged = 0);
  // The hold ended without the worker's lists.
  void fail_hold(const std::string& worker, call_end end);
  void answer_start(const start_command& order, call_end end);
  void answer_stop(const stop_command& order, call_end end);
  // Everything that there is to write is written.
  void commit();
  // The same, and then a tick.
  void commit_and_step();

  // The token of the owner's latest commit.
  fencing_token token = 0;
  // Of the lives that answer from now on; none: workers that do not say it.
  std::optional<incarnation_start> born;

  static listed_run running(const start_command& order);
  static listed_end ended(end_number number, const start_command& order, run_outcome how,
                          const std::string& checkpoint = {});
};

// An owner that takes a partition over from an earlier one, whose leases end 16 s later.
class takeover_harness : public scheduler_harness
{
public:
  takeover_harness();

  // Progress of a job whose first step has begun.
  static jobs::job_progress begun();
  // The listing of a run of k_job's first task that the earlier owner started.
  static listed_run earlier_run();
  // A job of one step of one task that has begun.
  void restore_begun(const std::string& id);
  void restore_claim(const std::string& worker, const worker_claim& claim);
  // Everything was restored.
  void begin();
};
} // namespace yardhill::scheduling
