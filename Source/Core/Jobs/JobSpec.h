// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The jobs that callers submit: a job consists of steps, a step of a number of identical tasks.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "Common/Resources.h"

namespace yardhill::jobs
{
using common::resources;
using std::chrono::milliseconds;

// Time of day, for timed jobs only; everything else uses the steady clock.
using wall_time = std::chrono::time_point<std::chrono::system_clock, milliseconds>;

struct step_spec
{
  std::uint32_t count = 1;
  resources demand; // of one task
  milliseconds estimate{0};
  std::vector<std::uint32_t>
      depends_on; // steps whose tasks must all be done before this one starts
  bool checkpointing = false;
  bool gang = false;          // the tasks start and end together
  bool one_rack = false;      // slower when spread over several racks
  bool speculative = false;   // several copies of a task may run at once
  bool long_running = false;  // the tasks run until the job is cancelled
  bool uses_idle_cpu = false; // uses processor time that others leave idle; reserves none
  std::string required_label; // label that the worker must have; empty: any worker
  std::string data_rack;      // rack of the data, slower anywhere else; empty: nowhere slower
  std::uint32_t max_tasks_per_worker = 0; // tasks of this step on one worker; 0: any number
  std::string image;                   // what the tasks run; tasks with the same image behave alike
  milliseconds tail_latency_target{0}; // for the latency of the answers of a serving task; 0: none
  // How many tasks of a long-running step the scheduler itself may make unavailable at a time.
  std::uint32_t max_unavailable = 0;
  bool limits_unavailable = false; // whether max_unavailable was given
};

struct job_spec
{
  std::string payload; // passed to every task
  std::vector<step_spec> steps;
  std::uint32_t repeats = 0; // 0: runs once, immediately; else the number of cycles
  milliseconds interval{0};
  wall_time first_due{};

  std::uint32_t cycles() const { return repeats == 0 ? 1 : repeats; }
  wall_time due(std::uint32_t cycle) const { return first_due + interval * cycle; }
  bool long_running() const;
  // Whether the tasks are independent of each other, so that the owners of `partitions` partitions
  // can each run a part of them. A wide long-running step may need more workers than one partition
  // has.
  bool may_be_shared(std::size_t partitions) const;
};

// The policy of the queue (route) to which a job was submitted.
struct queue_policy
{
  std::uint32_t priority = 0; // 0 is the highest
  std::uint32_t max_attempts = 1;
  double stretch = 1.0; // latency objective: latency_target + stretch x critical path
  milliseconds latency_target{0};
  std::string service; // whose workers run it

  // Set if the queue requires advice from the advice service, which permits only some workers for a
  // step.
  struct advice_policy
  {
    milliseconds per_call{0};
    std::chrono::microseconds per_worker{0};
    milliseconds valid{0};
  };
  std::optional<advice_policy> advice;
};

// What the configuration said of a job's queue and of its workspace when the job was accepted. It
// holds for the job once the configuration no longer has them, under whichever owner.
struct acceptance_terms
{
  queue_policy policy;
  // Of the job's workspace, if it has one; see workspace.
  resources workspace_limit;
  double workspace_weight = 0.0;
};

// The home of a job whose tasks are divided among all partitions.
inline constexpr const char* k_every_partition = "*";

// A partition's share of the tasks of such a job: the tasks whose index modulo `partitions` is
// `remainder`.
struct task_share
{
  std::uint32_t remainder = 0;
  std::uint32_t partitions = 1;

  bool has(std::uint32_t index) const { return index % partitions == remainder; }
  // The partition's share of `amount`. The shares of all partitions add up to `amount`.
  std::uint32_t of_amount(std::uint32_t amount) const
  {
    return amount / partitions + (remainder < amount % partitions ? 1 : 0);
  }
};

// A job as it is stored by the platform: written once, before the caller gets its answer.
struct accepted_job
{
  std::string id;
  std::string queue;     // the route's name
  std::string home;      // the partition that runs it, or k_every_partition
  std::string workspace; // of the caller who submitted it; empty: none, on a public queue
  std::optional<acceptance_terms> terms; // none: accepted by an earlier version of the software
  wall_time accepted_at{};
  job_spec spec;
};

// Limits for a single job; a job beyond them is refused as malformed. They are ten times the widest
// job in the sites' specifications, so that a caller's mistake cannot fill an instance.
inline constexpr std::size_t k_max_steps = 64;
inline constexpr std::uint32_t k_max_tasks = 4000;
inline constexpr std::uint32_t k_max_cycles = 1000;
inline constexpr std::size_t k_max_payload_bytes = 4000; // bytes; the platform's limit

// Why the job must be refused; none if it is valid.
std::optional<std::string> validation_error(const job_spec& spec);

// For each step, the critical path that begins with it: the largest sum of estimates along a chain
// of dependent steps.
std::vector<milliseconds> critical_paths_from(const std::vector<step_spec>& steps);
// The length of the critical path through all steps.
milliseconds critical_path_length(const std::vector<step_spec>& steps);
// The time from its acceptance within which a job of these steps must complete to earn its full
// credit.
milliseconds latency_objective(const queue_policy& policy, const std::vector<step_spec>& steps);
// A job that ends within this many times its latency objective still earns a part of its credit.
inline constexpr int k_late_factor = 3;

// Converts the terms to and from a JSON object.
nlohmann::json to_json_value(const acceptance_terms& terms);
acceptance_terms acceptance_terms_from(const nlohmann::json& in);

// Converts a job to and from the text of its row, a JSON object. Reading throws
// nlohmann::json::exception if the text is malformed.
std::string to_row_text(const accepted_job& job);
accepted_job accepted_job_from(const std::string& id, const std::string& text);
} // namespace yardhill::jobs
