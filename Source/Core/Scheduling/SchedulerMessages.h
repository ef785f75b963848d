// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The commands that a partition's scheduler issues, and the answers to them. Plain data: the
// clients of workers and services carry the commands out and return the answers.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Common/Ids.h"
#include "Common/InstanceSettings.h"
#include "Common/Resources.h"
#include "Common/Time.h"
#include "Jobs/JobProgress.h"

namespace yardhill::scheduling
{
using common::duration;
using common::time_point;
using common::worker_id;
using jobs::task_place;
using std::chrono::milliseconds;

// Numbers the starts of a task, in ascending order over successive owners. All members of a gang
// that are started together share one number.
using run_number = std::uint32_t;
// Numbers the ends of runs within one incarnation of a worker, in ascending order from 1.
using end_number = std::uint64_t;
// Carried by the calls of a partition's owner. A worker rejects calls whose token is lower than the
// highest one that it has seen.
using fencing_token = std::uint64_t;

// When an incarnation of a worker began, by the worker's own time of day. It distinguishes the
// incarnations under one id, but does not order them, since wall clocks may jump.
using incarnation_start = std::chrono::time_point<std::chrono::system_clock, milliseconds>;

struct task_ref
{
  std::string job;
  task_place place;

  auto operator<=>(const task_ref&) const = default;
};

struct step_ref
{
  std::string job;
  std::uint32_t cycle = 0;
  std::uint32_t step = 0;

  auto operator<=>(const step_ref&) const = default;
};

// A worker as its entry in the store describes it.
struct worker_info
{
  worker_id id; // successive incarnations may share it
  std::optional<incarnation_start> born;
  common::endpoint address;
  std::string zone;
  std::string service;
  std::string rack;
  std::vector<std::string> labels;
  common::resources capacity;
  bool draining = false;
  std::optional<milliseconds> remaining; // the least time until a draining worker leaves
};

// What the store keeps for later owners of a worker on which runs were or may be started.
struct worker_claim
{
  common::endpoint address;
  std::string zone;            // empty: not known
  bool closed = false;         // no tasks but `tasks` may run on the worker
  std::vector<task_ref> tasks; // only in a closed claim
  // By this time every run on the worker has ended. The owner that writes it extends no lease on
  // the worker and starts nothing there until it has written a claim without such a time.
  std::optional<time_point> over = std::nullopt;
  // The incarnation of the worker that the claim is for.
  std::optional<incarnation_start> born = std::nullopt;
};

// A time on a worker's own clock, in milliseconds.
using worker_clock_time = std::chrono::milliseconds;

struct start_command
{
  worker_id worker;
  common::endpoint address;
  task_ref task;
  run_number run = 0;
  std::string payload;
  worker_clock_time lease_end{};
  std::string checkpoint;
  std::string ticket;
  fencing_token token = 0;
};

struct stop_command
{
  worker_id worker;
  common::endpoint address;
  task_ref task;
  run_number run = 0;
  fencing_token token = 0;
};

// Extends the leases of all runs on the worker and asks for updates.
struct hold_command
{
  worker_id worker;
  common::endpoint address;
  end_number acknowledged = 0; // the worker may forget ends up to this one
  // None: no lease is extended, for instance because the worker's clock is not known yet.
  std::optional<worker_clock_time> lease_end;
  milliseconds wait{0}; // how long the worker may wait for updates before it answers
  // Starts wait until the answer shows which incarnation is there.
  bool confirms_incarnation = false;
  fencing_token token = 0;
};

struct pace_command
{
  worker_id worker;
  common::endpoint address;
  task_ref task;
  run_number run = 0;
  std::uint32_t percent = 100;
  fencing_token token = 0;
};

struct advice_command
{
  step_ref step;
  std::vector<worker_id> workers;
  milliseconds expected{0}; // time that the service will take for this call
};

using command =
    std::variant<start_command, stop_command, hold_command, pace_command, advice_command>;

// How many advice calls may be in flight at once. The service handles the calls of one instance one
// after the other, so further ones would only be queued there. Short and long calls have separate
// limits.
struct advice_slots
{
  std::size_t short_calls = 1;
  std::size_t long_calls = 1;
};

// Advice calls that take at least this long count as long. The sites' short calls take 20 to 40 ms,
// the long ones 400 ms and more.
inline constexpr milliseconds k_long_advice_threshold{100};

enum class call_end
{
  done,
  fenced,   // the worker has seen a higher token
  outdated, // a run of the task with this or a higher number has ended on the worker
  too_late, // the call arrived after the end of the lease that it carried
  no_room,  // not enough free capacity
  bad_ticket,
  other_incarnation, // another worker answers at the address: the one meant is gone
  unhealthy,         // refused without any effect
  rejected,          // the call was malformed
  unanswered         // the call may have been carried out, or may still be
};

std::string_view to_text(call_end end);

// In each answer, `token` and `sent` are those of its call.
struct start_answer
{
  worker_id worker;
  task_ref task;
  run_number run = 0;
  call_end end = call_end::unanswered;
  std::optional<worker_clock_time> clock;
  time_point sent;
  fencing_token token = 0;
};

struct stop_answer
{
  worker_id worker;
  task_ref task;
  run_number run = 0;
  call_end end = call_end::unanswered;
  time_point sent;
  fencing_token token = 0;
};

struct listed_run
{
  task_ref task;
  run_number run = 0;
  std::string checkpoint;
  std::uint32_t percent = 0; // progress; of a serving task, how busy it is
  // Of a serving task, its tail latency in ms; else the processor share in use, in thousandths.
  std::int64_t load = 0;
};

enum class run_outcome
{
  done,
  failed,
  stopped,
  lapsed, // its lease expired
  broken, // another member of its gang ended
  alone   // other members of its gang did not start in time
};

std::string_view to_text(run_outcome outcome);

struct listed_end
{
  end_number number = 0;
  task_ref task;
  run_number run = 0;
  run_outcome how = run_outcome::lapsed;
  std::string checkpoint;
};

struct hold_answer
{
  worker_id worker;
  call_end end = call_end::unanswered;
  std::optional<worker_clock_time> clock;
  end_number acknowledged = 0; // as sent with the hold
  std::vector<listed_run> running;
  std::vector<listed_end> ended;
  time_point sent;
  fencing_token token = 0;
  // The call had been reported as unanswered before this answer came.
  bool late = false;
  std::optional<incarnation_start> born = std::nullopt; // of the incarnation that answered
  // The worker may keep further ends after the last one listed, so a run that neither list has may
  // have ended.
  bool more_ends = false;
};

struct admission_ticket
{
  worker_id worker;
  std::string ticket;
};

struct advice_answer
{
  step_ref step;
  std::vector<worker_id> asked;
  bool answered = false;
  std::vector<admission_ticket> permitted;
  milliseconds valid{0}; // lifetime of the tickets
  time_point received;
};
} // namespace yardhill::scheduling
