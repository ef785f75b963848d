// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// A task as its row in the table service keeps it.

#include <optional>
#include <string>

#include "Common/Ids.h"
#include "Common/Task.h"

namespace yardhill::common
{
// Written before a task that is not repeatable is sent to a worker.
struct stored_intent
{
  attempt_number attempt = 0;
  worker_id worker;
  std::string boot; // of the worker; another boot has forgotten what it ran
};

struct stored_task
{
  task_spec spec;
  std::optional<stored_intent> intent;
  std::optional<answer> final_answer;
  std::string body_object; // key in the object store of a body too large for a row; else empty
};

// What a row write is for; open rows are read at a takeover, ended ones on a caller's retry.
enum class record_change
{
  accept, // only if there is no row of this task yet
  intent,
  end,
  forget,
  find, // nothing is written: look whether there is a row
  count
};

struct record_write
{
  record_change change = record_change::accept;
  stored_task task;
};

enum class record_write_status
{
  written,
  exists,      // accept only: the task was known; `known` tells
  not_written, // certainly; find: there is no row
  unclear      // may have been written; settled later by another result
};

struct record_write_result
{
  record_change change = record_change::accept;
  task_id task;
  record_write_status status = record_write_status::unclear;
  std::optional<stored_task> known;
};

std::string to_json_text(const stored_task& task);
// Throws nlohmann::json::exception on a malformed row.
stored_task stored_task_from(const std::string& text);
} // namespace yardhill::common
