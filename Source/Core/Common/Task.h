// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// What a caller asks for and what it is answered.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/Ids.h"
#include "Common/Reason.h"
#include "Common/Resources.h"
#include "Common/Time.h"

namespace yardhill::common
{
enum class task_kind
{
  interactive, // previews and cues: short, someone waits
  service,     // runs until it is removed, replaced when lost
  gang,        // all members start together or none does
  batch,
  count
};

std::string_view to_text(task_kind kind);
std::optional<task_kind> task_kind_from(std::string_view name);

// Everything its home needs to know to run a task; resolved from the workload at the entry.
struct task_spec
{
  task_id id;
  workload_id workload;
  team_id team;
  task_kind kind = task_kind::batch;
  resources demand;          // of one member
  std::uint32_t members = 1; // more than 1 only for a gang
  std::int32_t priority = 0; // higher goes first within its kind
  duration expected_run{0};  // as declared; often wrong
  duration deadline{0};      // from acceptance to the final answer; 0: none
  bool keyed = false;        // the caller chose the id and may send it again
  bool repeatable = true;    // false: at most one attempt ever
  bool waits = true;         // the caller waits for the result
  std::uint32_t max_attempts = 3;
  std::string payload; // handed to the worker as it is

  // Whether the task is kept in the table service before it is acknowledged or started.
  bool durable() const { return !repeatable || (!waits && kind != task_kind::service); }
  bool operator==(const task_spec&) const = default;
};

// The JSON form, as it travels to workers and peers. Reading throws nlohmann::json::exception.
std::string to_json_text(const task_spec& spec);
task_spec task_spec_from(const std::string& text);

enum class outcome
{
  accepted,
  done,
  failed,
  cancelled,
  refused, // certainly not run
  unknown, // may have run
  count
};

std::string_view to_text(outcome value);
std::optional<outcome> outcome_from(std::string_view name);

struct answer
{
  task_id task;
  outcome result = outcome::unknown;
  refusal_reason reason = refusal_reason::none;
  std::string detail;     // one sentence for a person
  std::string step;       // where it arose, e.g. "place"
  std::string peer;       // the instance, worker or store it arose with
  std::string body;       // the result, whole; a gang's members' bodies in order
  std::string durability; // of an accepted task: "table" or "memory"
  duration retry_after{0};
  duration waited{0}; // from acceptance at the home to the start of the successful attempt
  duration ran{0};
  std::uint32_t attempts = 0;

  bool is_final() const { return result != outcome::accepted; }
};

// A refusal: certainly not run, with when to come back (0: never, asking again is of no use).
answer refuse(const task_id& task, refusal_reason reason, std::string detail, std::string step,
              duration retry_after);
// An answer for a task that may have run.
answer unclear(const task_id& task, refusal_reason reason, std::string detail, std::string step,
               duration retry_after);

// How an attempt ended at its worker.
enum class attempt_result
{
  done,
  failed,
  stopped,
  checkpointed,
  lapsed, // its lease ran out
  count
};

std::string_view to_text(attempt_result result);
std::optional<attempt_result> attempt_result_from(std::string_view name);
} // namespace yardhill::common
