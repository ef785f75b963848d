// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Tasks as callers submit them, and the answers that callers get.

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
  interactive, // previews and cues: short, with a person waiting
  service,     // runs until it is removed; replaced if lost
  gang,        // all members start together, or none does
  batch,
  count
};

std::string_view to_text(task_kind kind);
std::optional<task_kind> task_kind_from(std::string_view name);

// Everything that a task's home needs to run it. The instance that receives the caller's request
// fills it in from the workload's configuration.
struct task_spec
{
  task_id id;
  workload_id workload;
  team_id team;
  task_kind kind = task_kind::batch;
  resources demand;          // of one member
  std::uint32_t members = 1; // more than 1 only for a gang
  std::int32_t priority = 0; // a higher one starts first within its kind
  duration expected_run{0};  // as declared; often wrong
  duration deadline{0};      // from acceptance to the final answer; 0: none
  bool keyed = false;        // the caller chose the key in the id and may resend the request
  bool repeatable = true;    // false: at most one attempt ever
  bool waits = true;         // the caller waits for the result
  std::uint32_t max_attempts = 3;
  std::string payload; // passed to the worker unchanged

  // Whether the task is written to the table service before it is acknowledged or started.
  bool durable() const { return !repeatable || (!waits && kind != task_kind::service); }
  bool operator==(const task_spec&) const = default;
};

// The JSON form that is sent to workers and peers. Reading throws nlohmann::json::exception.
std::string to_json_text(const task_spec& spec);
task_spec task_spec_from(const std::string& text);

enum class outcome
{
  accepted,
  done,
  failed,
  cancelled,
  refused, // certainly has not run
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
  std::string detail;     // one sentence for a human reader
  std::string step;       // the step that led to this answer, e.g. "place"
  std::string peer;       // the instance, worker or store that was involved in that step
  std::string body;       // the whole result; for a gang the bodies of its members in order
  std::string durability; // of an accepted task: "table" or "memory"
  duration retry_after{0};
  duration waited{0}; // from acceptance at the home to the start of the successful attempt
  duration ran{0};
  std::uint32_t attempts = 0;

  bool is_final() const { return result != outcome::accepted; }
};

// A refusal of a task that certainly has not run. `retry_after` is how long the caller should
// wait before it retries; 0: a retry is of no use.
answer refuse(const task_id& task, refusal_reason reason, std::string detail, std::string step,
              duration retry_after);
// An answer for a task that may have run: its outcome is unknown.
answer unclear(const task_id& task, refusal_reason reason, std::string detail, std::string step,
               duration retry_after);

// How an attempt ended on its worker.
enum class attempt_result
{
  done,
  failed,
  stopped,
  checkpointed,
  lapsed, // its lease expired
  count
};

std::string_view to_text(attempt_result result);
std::optional<attempt_result> attempt_result_from(std::string_view name);
} // namespace yardhill::common
