// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// What a partition's scheduler is told and what it wants done. Plain data: the clients carry the
// commands out and report back with the answers.

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

// Counts the starts of a task; rises over all owners. All members of a gang share one.
using run_number = std::uint32_t;
// Number of an end within a worker's life; rises from 1.
using end_number = std::uint64_t;
// Of a partition's owner; workers obey no lower one than the highest they have seen.
using fencing_token = std::uint64_t;

// When a worker's life began, by its own time of day. It tells the lives of one id apart and orders
// nothing: clocks jump.
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

// What is known of a worker from its entry in the store.
struct worker_info
{
  worker_id id; // several lives in a row may have it
  std::optional<incarnation_start> born;
  common::endpoint address;
  std::string zone;
  std::string service;
  std::string rack;
  std::vector<std::string> labels;
  common::resources capacity;
  bool draining = false;
  std::optional<milliseconds> remaining; // at least this long until a draining worker leaves
};

// What later owners have to know of a worker on which runs were or may be started.
struct worker_claim
{
  common::endpoint address;
  std::string zone;            // empty: not known
  bool closed = false;         // nothing but `tasks` may run there
  std::vector<task_ref> tasks; // of a closed claim
  // All that runs there has surely ended then. Whoever has it written extends no lease there and
  // starts nothing until another claim is.
  std::optional<time_point> over = std::nullopt;
  std::optional<incarnation_start> born = std::nullopt; // of the worker's life that it is of
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

// Extends the lease of all that runs there and asks for news.
struct hold_command
{
  worker_id worker;
  common::endpoint address;
  end_number acknowledged = 0;
  std::optional<worker_clock_time> lease_end; // none: the worker's clock is not known yet
  milliseconds wait{0};
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
  milliseconds expected{0}; // how long the service will take for this call
};

using command =
    std::variant<start_command, stop_command, hold_command, pace_command, advice_command>;

// How many calls for advice may be under way at once: the service takes those of one instance in
// turn, so more would only stand in line. Short and long calls are kept apart.
struct advice_slots
{
  std::size_t short_calls = 1;
  std::size_t long_calls = 1;
};

// The sites' short calls take 20 to 40 ms, the long ones 400 and more.
inline constexpr milliseconds k_long_advice_threshold{100};

enum class call_end
{
  done,
  fenced,   // the worker has seen a higher token
  outdated, // the run's number is not above one that ended there
  too_late, // it arrived after the lease's end that it carried
  no_room,
  bad_ticket,
  other_incarnation, // another worker lives at that address: the one meant is gone
  unhealthy,         // refused without having done anything
  rejected,          // the call was malformed
  unanswered         // may have been carried out, or may be later
};

std::string_view to_text(call_end end);

// `token` and `sent` of an answer are those of its call.
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
  std::uint32_t percent = 0; // done, or for a serving task how far it is at work
  std::int64_t load = 0;     // serving: its tail in ms; else the processor share in use, in millis
};

enum class run_outcome
{
  done,
  failed,
  stopped,
  lapsed, // its lease ended
  broken, // another member of its gang ended
  alone   // it waited in vain for the others of its gang
};

std::string_view to_text(run_outcome end);

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
  end_number acknowledged = 0; // as it was sent
  std::vector<listed_run> running;
  std::vector<listed_end> ended;
  time_point sent;
  fencing_token token = 0;
  // The call was told as unanswered before this answer came.
  bool late = false;
  std::optional<incarnation_start> born = std::nullopt; // of the life that has answered
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
  milliseconds valid{0};
  time_point received;
};
} // namespace yardhill::scheduling
