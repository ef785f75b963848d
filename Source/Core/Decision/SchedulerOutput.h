// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The actions that a partition's scheduler requests. The instance adds terms and tickets and sends
// them.

#include <string_view>
#include <vector>

#include "Common/StoredTask.h"
#include "Common/WorkerMessages.h"
#include "Decision/TaskRecord.h"

namespace yardhill::decision
{
struct worker_start
{
  worker_id worker;
  start_order order;
};

struct worker_stop
{
  worker_id worker;
  attempt_id attempt;
  bool checkpoint = false;
};

struct caller_reply
{
  reply_address to;
  answer value;
  bool moved = false; // no decision was made; the caller must ask the partition's new owner
};

// A log entry about a task.
struct task_log_event
{
  task_id task;
  std::string_view step;
  std::string detail;
};

struct scheduler_output
{
  std::vector<worker_start> starts;
  std::vector<worker_stop> stops;
  std::vector<caller_reply> replies;
  std::vector<record_write> writes;
  std::vector<task_log_event> notes;
};
} // namespace yardhill::decision
