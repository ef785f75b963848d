// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// A task as it is stored in its row of the table service.

#include <optional>
#include <string>

#include "Common/Ids.h"
#include "Common/Task.h"

namespace yardhill::common
{
// The intention to start an attempt, written before a task that is not repeatable is sent to a
// worker.
struct stored_intent
{
  attempt_number attempt = 0;
  worker_id worker;
  std::string boot; // the worker's boot id; after a restart the worker does not know what it ran
};

struct stored_task
{
  task_spec spec;
  std::optional<stored_intent> intent;
  std::optional<answer> final_answer;
  // Key in the object store of a result body that is too large for the row; else empty.
  std::string body_object;
};

// The purpose of a row write. Rows of open tasks are read at a takeover, rows of ended tasks when a
// caller retries.
enum class record_change
{
  accept, // only if there is no row of this task yet
  intent,
  end,
  forget,
  find, // writes nothing: checks whether there is a row
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
  exists,      // accept only: the task has a row already, which is in `known`
  not_written, // certainly not written; find: there is no row
  unclear      // may have been written; a later result settles it
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
