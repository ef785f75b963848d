// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// How an attempt went as a whole, once all its members are over, and the answers that follow.

#include "Common/Task.h"
#include "Decision/TaskRecord.h"

namespace yardhill::decision
{
enum class attempt_verdict
{
  done,
  stopped,          // by the caller or the deadline
  not_started,      // no worker took a member
  run_unclear,      // it may not run again, and its worker was lost
  failed_for_good,  // it may not run again
  preempted,        // stopped to make room for others
  worker_lost,      // a member's lease ran out
  gang_member_lost, // a member was not started, and the others were stopped
  failed
};

attempt_verdict judge_attempt(const task_record& task);

// The final answer to a task whose attempt ended by `done`, `stopped`, and by one of the two
// verdicts on tasks that may not run again.
answer done_answer(const task_record& task);
answer stopped_answer(const task_record& task);
answer not_again_answer(const task_record& task, attempt_verdict verdict);
} // namespace yardhill::decision
