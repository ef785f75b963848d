// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Determines the outcome of an attempt once all its members have ended, and the final answers that
// follow from it.

#include "Common/Task.h"
#include "Decision/TaskRecord.h"

namespace yardhill::decision
{
enum class attempt_verdict
{
  done,
  stopped,          // by the caller or the deadline
  not_started,      // no worker accepted a member
  run_unclear,      // the task may not run again, and a worker of the attempt was lost
  failed_for_good,  // the task may not run again, and the attempt failed
  preempted,        // stopped to release capacity for other tasks
  worker_lost,      // a member's lease expired
  gang_member_lost, // a member was not started, and the others were stopped
  failed
};

attempt_verdict judge_attempt(const task_record& task);

// These return the final answer to a task whose attempt ended with the verdict `done`, with
// `stopped`, and with `run_unclear` or `failed_for_good`, in this order.
answer done_answer(const task_record& task);
answer stopped_answer(const task_record& task);
answer not_again_answer(const task_record& task, attempt_verdict verdict);
} // namespace yardhill::decision
