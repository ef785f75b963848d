// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// How far a job has come, as far as it must outlast its owner: a small row, written by the owner.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace yardhill::jobs
{
enum class job_state
{
  queued, // none of its tasks has begun
  active,
  completed,
  failed,
  cancelled
};

std::string_view to_text(job_state state);
bool is_final(job_state state);

// A task within its job.
struct task_place
{
  std::uint32_t cycle = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  auto operator<=>(const task_place&) const = default;
};

// What is kept of a task that may crash the workers that start it, by the numbers of its runs.
struct crash_history
{
  std::vector<std::uint32_t> blamed;  // their workers crashed just after they had begun
  std::vector<std::uint32_t> unclear; // announced runs of which nothing was heard any more
  // The run that is to be started next, or goes on, and the worker that it is meant for; 0: its end
  // is known, or there was none.
  std::uint32_t announced = 0;
  std::string announced_on = {};
  // How many of the blamed runs were tried alone.
  std::uint32_t alone = 0;
  // Runs whose workers have ended, and whose starts were not answered: they may never have begun.
  std::uint32_t unanswered = 0;
  // A run may have been lost with a worker, so the next one is announced.
  bool lost = false;
  // Runs lost while so many workers were that their losses are no evidence.
  std::uint32_t by_chance = 0;
  // Runs that were not announced and may have been lost with their workers, without any word on
  // what crashed these.
  std::uint32_t unexplained_losses = 0;

  bool any() const
  {
    return !blamed.empty() || !unclear.empty() || announced != 0 || unanswered != 0 || lost ||
           by_chance != 0 || unexplained_losses != 0;
  }
  void take_back()
  {
    announced = 0;
    announced_on.clear();
  }
  bool operator==(const crash_history&) const = default;
};

// What is kept of one task besides its being done.
struct task_history
{
  // Numbers of the runs that ended by its own fault: they count against the attempts, each once,
  // in whatever order their ends are heard of.
  std::vector<std::uint32_t> failed_runs;
  std::string checkpoint; // where the next run continues; empty: from the start
  crash_history crashes = {};

  bool operator==(const task_history&) const = default;
};

struct job_progress
{
  job_state state = job_state::queued;
  // One bit a task, by cycle and step; a vector<bool> of the step's count.
  std::vector<std::vector<std::vector<bool>>> done;
  std::map<task_place, task_history> histories;
  // Steps (index 0 stands for all tasks) of which tasks may have been started, with the
  // availability zone of the workers there; empty: on any worker. It is written before the first
  // start.
  std::map<task_place, std::string> begun;
};

// Our own form of the row. Reading throws nlohmann::json::exception or std::invalid_argument on a
// damaged text.
std::string to_row_text(const job_progress& progress);
job_progress job_progress_from(const std::string& text);
} // namespace yardhill::jobs
