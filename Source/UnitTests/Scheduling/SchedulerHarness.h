// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Runs a partition's scheduler under test in virtual time, with workers and jobs that the test
// makes up, and collects the scheduler's commands by kind.

#include <memory>
#include <set>
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

  // Commands since the last call of clear.
  std::vector<start_command> starts;
  std::vector<stop_command> stops;
  std::vector<hold_command> holds;
  std::vector<pace_command> paces;
  std::vector<advice_command> questions;

  void pass(duration time);
  // Ticks the scheduler and adds its commands to those above. Workers answer at once when they are
  // asked, before a start, which incarnation is there; these holds are not collected.
  void step();
  void clear();

  static worker_info worker(const std::string& id, std::int64_t cpu_millis = 16000);
  static jobs::accepted_job job(const std::string& id, std::vector<jobs::step_spec> steps);
  static jobs::step_spec step_of(std::uint32_t count, std::int64_t cpu_millis = 1000);
  void set_policy(const jobs::queue_policy& policy);
  // Adds a worker that has answered its first hold and runs nothing.
  void add_worker(const worker_info& info);
  // Adds a job of one step and starts its tasks as far as there is free capacity.
  void start_job(const std::string& id, const jobs::step_spec& step);

  // Adds w1 as the only worker, and k_job, and has the start of the job's first task sent to w1.
  void send_first_start(const jobs::step_spec& step = step_of(1));

  // The workers' clocks, which are half a minute behind this owner's.
  worker_clock_time clock() const;
  void answer_hold(const std::string& worker, std::vector<listed_run> running,
                   std::vector<listed_end> ended = {}, end_number acknowledged = 0);
  // The same, with a list of ends that may be cut off.
  void answer_hold_cut_off(const std::string& worker, std::vector<listed_run> running,
                           std::vector<listed_end> ended);
  // Ends a hold without the worker's lists.
  void fail_hold(const std::string& worker, call_end end);
  void answer_start(const start_command& request, call_end end);
  void answer_stop(const stop_command& request, call_end end);
  // Writes everything that there is to write.
  void commit();
  // The same, followed by a tick.
  void commit_and_step();

  // The token of the owner's latest commit.
  fencing_token token = 0;
  // The incarnation of the workers that answer from now on; none: workers that do not report it.
  std::optional<incarnation_start> born;

  // Workers that do not answer when they are asked before a start.
  std::set<std::string> silent;

  static listed_run running(const start_command& request);
  static listed_end ended(end_number number, const start_command& request, run_outcome how,
                          const std::string& checkpoint = {});

private:
  // Answers the holds that a start waits for; false if there were none.
  bool confirm_incarnations();
  hold_answer lists_of(const std::string& worker, std::vector<listed_run> running,
                       std::vector<listed_end> ended) const;
};

// An owner that takes a partition over from an earlier owner, whose leases end 16 s later.
class takeover_harness : public scheduler_harness
{
public:
  takeover_harness();

  // The stored progress of a job whose first step may have begun in any zone.
  static jobs::job_progress begun();
  // The list entry of a run of k_job's first task that the earlier owner started.
  static listed_run earlier_run();
  // Restores a job of one step with one task that may have begun.
  void restore_begun(const std::string& id);
  void restore_claim(const std::string& worker, const worker_claim& claim);
  // Begins the accounting, after everything has been restored.
  void begin();
};
} // namespace yardhill::scheduling
