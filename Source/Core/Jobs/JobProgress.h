// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The progress of a job as its partition's owner writes it to the job's progress row: everything
// that a later owner needs to continue the job.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Jobs/JobSpec.h"

namespace yardhill::jobs
{
enum class job_state
{
  queued, // none of its tasks has started
  active,
  completed,
  failed,
  cancelled
};

std::string_view to_text(job_state state);
bool is_final(job_state state);

// Identifies a task within its job.
struct task_place
{
  std::uint32_t cycle = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  auto operator<=>(const task_place&) const = default;
};

// Evidence that a task may crash the workers that run it. The lists hold numbers of its runs. A run
// is announced by writing its number and its worker here before it is started, so that a later
// owner knows of it.
struct crash_history
{
  std::vector<std::uint32_t> blamed;  // runs whose workers crashed just after the run had started
  std::vector<std::uint32_t> unclear; // announced runs of which no outcome was ever reported
  // The announced run, which is about to be started or is running, and its worker; 0: no run is
  // announced, or the outcome of the last one is known.
  std::uint32_t announced = 0;
  std::string announced_on = {};
  // How many of the blamed runs were trials in isolation: no other recently started run on the
  // worker could have crashed it.
  std::uint32_t alone = 0;
  // Runs whose workers are gone and never answered the start request: they may never have started.
  std::uint32_t unanswered = 0;
  // A run may have been lost with a worker, so the next one is announced.
  bool lost = false;
  // Runs lost while so many workers were lost that this is no evidence against the task.
  std::uint32_t by_chance = 0;
  // Runs that were not announced and may have been lost with their workers, without any report on
  // what crashed those workers.
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

// What is stored about one task, apart from whether it is done.
struct task_history
{
  // Numbers of the runs that failed by the task's own fault. Each counts once against the allowed
  // attempts, in whatever order the ends are reported.
  std::vector<std::uint32_t> failed_runs;
  std::string checkpoint; // where the next run resumes; empty: from the start
  crash_history crashes = {};

  bool operator==(const task_history&) const = default;
};

struct job_progress
{
  job_state state = job_state::queued;
  // done[cycle][step][index] tells whether the task is done.
  std::vector<std::vector<std::vector<bool>>> done;
  std::map<task_place, task_history> histories;
  // The steps of which tasks may have been started (the key's index is 0), with the availability
  // zone to which their starts are confined; empty: they may be on any worker. An entry is written
  // before the step's first start.
  std::map<task_place, std::string> begun;
  // Of a job whose own row has none, once the configuration no longer has its queue or workspace.
  std::optional<acceptance_terms> terms;
  // How many continuation rows the progress was read from (see ProgressRows.h).
  std::size_t continuation_rows = 0;
};

// Converts to and from the row's text, a JSON object. Reading throws nlohmann::json::exception or
// std::invalid_argument if the text is malformed.
std::string to_row_text(const job_progress& progress);
job_progress job_progress_from(const std::string& text);
} // namespace yardhill::jobs
