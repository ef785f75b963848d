// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// What a partition's scheduler knows of one task.

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

// Who waits for an answer: a caller of this instance (no peer), or a peer's forwarded request.
struct reply_address
{
  instance_id peer;
  std::uint64_t number = 0;
};

enum class member_phase
{
  idle,     // not sent, or certainly not taken
  starting, // sent, no answer yet
  unclear,  // sent, the answer was lost
  running,
  over
};

struct waiter
{
  reply_address to;
  bool until_final = true; // false: acceptance is enough
};

// One member of the current attempt.
struct member_run
{
  member_phase phase = member_phase::idle;
  worker_id worker;
  std::string boot;
  std::uint64_t started_moment = 0; // the worker's count when it took the start
  resources granted;
  attempt_result result = attempt_result::failed;
  std::string body;
  duration ran{0};
  time_point lapses = k_never; // its worker is out of reach: when it is surely over
  bool lost = false;           // over without word from the worker
};

enum class task_phase
{
  storing, // its first row is being written
  held,    // an earlier owner's worker may still run it
  delayed, // waits for its next try
  queued,
  intending, // the row of its next attempt is being written
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
  attempt_number attempt = 0; // of the current attempt, 0 before the first
  std::uint32_t tries = 0;    // attempts by this owner
  std::uint32_t failures = 0;
  worker_id failed_on; // the latest worker that failed it; others are tried first
  std::vector<member_run> members;
  std::vector<std::size_t> planned_workers; // while intending: ledger positions
  stop_cause stopping = stop_cause::none;
  bool may_have_run = false; // some attempt was, or may have been, taken by a worker
  bool has_row = false;
  bool foreign = false; // an earlier owner may have started it
  std::optional<stored_intent> intent;
  std::optional<answer> final_answer;
  std::vector<waiter> waiters;
  time_point accepted_at;
  time_point started_at;
  time_point ended_at;
  time_point due = k_never; // by the deadline
  time_point preempted_for_at{
      std::chrono::hours{-1}}; // when others were last asked to make room for it
  std::int64_t queue_key = 0;
  std::uint64_t sequence = 0; // order of acceptance

  attempt_id id_of_member(std::size_t member) const
  {
    return {spec.id, attempt, static_cast<std::uint32_t>(member)};
  }
  bool all_members_over() const;
  stored_task to_stored() const { return {spec, intent, final_answer, {}}; }
};
} // namespace yardhill::decision
