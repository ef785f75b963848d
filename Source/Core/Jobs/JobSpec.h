// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// What a caller hands in: a job of steps, each of a number of like tasks.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/Resources.h"

namespace yardhill::jobs
{
using common::resources;
using std::chrono::milliseconds;

// Time of day, for timed jobs only; everything else runs on the steady clock.
using wall_time = std::chrono::time_point<std::chrono::system_clock, milliseconds>;

struct step_spec
{
  std::uint32_t count = 1;
  resources demand; // of one task
  milliseconds estimate{0};
  std::vector<std::uint32_t> depends_on; // steps all of whose tasks must be done first
  bool checkpointing = false;
  bool gang = false;          // the tasks start and end together
  bool one_rack = false;      // slower when spread over several racks
  bool speculative = false;   // copies may run beside each other
  bool long_running = false;  // runs until the job is cancelled
  bool uses_idle_cpu = false; // takes processor time that others leave; not counted in the room
  std::string required_label; // of the worker; empty: any
  std::string data_rack;      // slower anywhere else; empty: nowhere slower
  std::uint32_t max_tasks_per_worker = 0; // tasks of this step on one worker; 0: any number
  std::string image;                      // what the tasks run; like images behave alike
  milliseconds tail_latency_target{0};    // of a serving task's own answers; 0: none
  std::uint32_t max_unavailable = 0; // tasks of a long-running step that may be away by our doing
  bool limits_unavailable = false;   // whether max_unavailable was given
};

struct job_spec
{
  std::string payload; // handed to every task
  std::vector<step_spec> steps;
  std::uint32_t repeats = 0; // 0: once, at once; else that many cycles
  milliseconds interval{0};
  wall_time first_due{};

  std::uint32_t cycles() const { return repeats == 0 ? 1 : repeats; }
  wall_time due(std::uint32_t cycle) const { return first_due + interval * cycle; }
  bool long_running() const;
  // Whether its tasks need nothing of each other, so that so many owners can each run some of them.
  // A wide step that lasts may want more workers than one partition has.
  bool may_be_shared(std::size_t partitions) const;
};

// The policy of the queue (route) that a job came in by.
struct queue_policy
{
  std::uint32_t priority = 0; // 0 goes first
  std::uint32_t max_attempts = 1;
  double stretch = 1.0; // objective: latency_target + stretch x the longest chain of work
  milliseconds latency_target{0};
  std::string service; // whose workers run it

  // Where the queue's policy names only some workers for a step (see admission advice).
  struct advice_policy
  {
    milliseconds per_call{0};
    std::chrono::microseconds per_worker{0};
    milliseconds valid{0};
  };
  std::optional<advice_policy> advice;
};

// A job that the platform's store keeps: written once, before the caller is told.
// The home of a job whose tasks are shared among all partitions.
inline constexpr const char* k_every_partition = "*";

// A partition's part of the tasks of such a job: those whose index leaves this rest.
struct task_share
{
  std::uint32_t rest = 0;
  std::uint32_t of = 1;

  bool has(std::uint32_t index) const { return index % of == rest; }
  // Its part of an amount; all partitions' parts make the whole.
  std::uint32_t of_amount(std::uint32_t amount) const
  {
    return amount / of + (rest < amount % of ? 1 : 0);
  }
};

struct accepted_job
{
  std::string id;
  std::string queue; // the route's name
  std::string home;  // the partition that runs it, or k_every_partition
  wall_time accepted_at{};
  job_spec spec;
};

// The most steps and tasks that one job may have; beyond it a job is refused as malformed. Ten
// times the widest job of the sites' sheets, so that no caller's mistake fills an instance.
inline constexpr std::size_t k_max_steps = 64;
inline constexpr std::uint32_t k_max_tasks = 4000;
inline constexpr std::uint32_t k_max_cycles = 1000;
inline constexpr std::size_t k_max_payload_bytes = 4000; // bytes; the platform's limit

// Why the job cannot be taken; none for a sound one.
std::optional<std::string> validation_error(const job_spec& spec);

// For each step, the longest chain of estimated work that begins with it.
std::vector<milliseconds> critical_paths_from(const std::vector<step_spec>& steps);
// The longest chain of estimated work through the steps.
milliseconds critical_path_length(const std::vector<step_spec>& steps);
// From its acceptance, when a job of these steps should be complete to be worth its full credit.
milliseconds latency_objective(const queue_policy& policy, const std::vector<step_spec>& steps);
// A job that ends within this many times its objective is still worth a part of its credit.
inline constexpr int k_late_factor = 3;

// Our own form of a kept job. Reading throws nlohmann::json::exception on a damaged text.
std::string to_row_text(const accepted_job& job);
accepted_job accepted_job_from(const std::string& id, const std::string& text);
} // namespace yardhill::jobs
