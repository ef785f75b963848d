// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The state that a partition's scheduler keeps of one task.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/Ids.h"
#include "Common/StoredTask.h"
#include "Common/Task.h"
#include "Common/Time.h"

namespace yardhill::decision
{
using namespace common;

// Where a reply goes: to a caller of this instance (`peer` is empty) or to the peer that forwarded
// the request.
struct reply_address
{
  instance_id peer;
  std::uint64_t number = 0;
};

enum class member_phase
{
  idle,     // the start request was not sent, or the worker certainly did not accept it
  starting, // the start request was sent; no answer yet
  unclear,  // the start request was sent; the answer was lost
  running,
  ended
};

struct waiter
{
  reply_address to;
  bool until_final = true; // false: the reply is due when the task is accepted
};

// One member of the current attempt.
struct member_run
{
  member_phase phase = member_phase::idle;
  worker_id worker;
  std::string boot;
  std::uint64_t started_change_count = 0; // the worker's change counter when it accepted the start
  resources granted;
  attempt_result result = attempt_result::failed;
  std::string body;
  duration ran{0};
  // Time by which the member has certainly ended; k_never while its worker is reachable.
  time_point lease_end = k_never;
  bool lost = false; // ended without a report from the worker
};

enum class task_phase
{
  storing, // the task's first row is being written
  held,    // a worker may still run the task for an earlier owner
  delayed, // the task waits for its next attempt
  queued,
  intending, // the row with the intent of the next attempt is being written
  active,
  ended
};

std::string_view to_text(task_phase phase);

enum class stop_cause
{
  none,
  cancelled,
  deadline,
  preempted,
  member_lost
};

struct task_record
{
  task_spec spec;
  task_phase phase = task_phase::queued;
  attempt_number attempt = 0;      // of the current attempt, 0 before the first
  std::uint32_t attempt_count = 0; // attempts by this owner
  std::uint32_t failures = 0;
  worker_id failed_on; // the worker of the latest failed attempt; other workers are preferred
  std::vector<member_run> members;
  // Ledger positions of the workers chosen for an attempt, used until its start requests are sent.
  std::vector<std::size_t> planned_workers;
  stop_cause stopping = stop_cause::none;
  bool may_have_run = false; // a worker accepted, or may have accepted, an attempt
  bool has_row = false;
  bool maybe_started_by_earlier_owner = false;
  std::optional<stored_intent> intent;
  std::optional<answer> final_answer;
  std::vector<waiter> waiters;
  time_point accepted_at;
  time_point started_at;
  time_point ended_at;
  time_point due = k_never; // time at which the deadline passes
  // Time at which other tasks were last preempted in favour of this one.
  time_point last_preemption_at{std::chrono::hours{-1}};
  std::int64_t queue_key = 0;
  std::uint64_t sequence = 0; // order of acceptance

  attempt_id id_of_member(std::size_t member) const
  {
    return {spec.id, attempt, static_cast<std::uint32_t>(member)};
  }
  bool all_members_ended() const;
  stored_task to_stored() const { return {spec, intent, final_answer, {}}; }
};
} // namespace yardhill::decision
