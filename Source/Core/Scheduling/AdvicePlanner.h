// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Decides when to ask which workers a queue's policy permits for a step, and keeps the answers.

#include "Scheduling/SchedulerState.h"

namespace yardhill::scheduling
{
class advice_planner
{
public:
  explicit advice_planner(scheduler_state& state);

  // Asks for a step whose tasks wait, where its tickets do not suffice.
  void want(job_record& job, std::uint32_t cycle, std::uint32_t step, time_point now);
  // Asks for steps that should become ready soon.
  void look_ahead(job_record& job, time_point now);
  void on_answer(const advice_answer& answer, time_point now);
  // The ticket to start a task of the step on that worker; null if there is none. An empty text
  // where the queue needs none.
  const std::string* ticket(const job_record& job, const step_record& step, const worker_id& worker,
                            time_point now) const;

private:
  std::vector<worker_id> worth_asking(const job_record& job, const step_record& step) const;
  bool soon(job_record& job, std::uint32_t cycle, std::uint32_t step, time_point now) const;

  scheduler_state& m_state;
};

// Whether a task of the step may run on the worker at all, its present load left aside.
bool suits(const worker_record& worker, const job_record& job, const step_record& step);
} // namespace yardhill::scheduling
