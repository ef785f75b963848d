// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Summarizes per kind of job what the callers of a load observed.

#include <cstddef>
#include <string>
#include <vector>

#include "Load/LoadRunner.h"

namespace yardhill::load
{
struct kind_report
{
  std::string kind;
  std::size_t sent = 0;
  std::size_t accepted = 0;
  std::size_t completed = 0; // long-running jobs: started, and cancelled on request
  std::size_t failed = 0;
  std::size_t unfinished = 0; // accepted, but not reported as ended
  std::size_t refusals = 0;
  std::size_t unanswered = 0;
  std::size_t late = 0; // completed after their deadline
  // Measured from the planned submission. The resolution is caller_options::state_query_period.
  std::vector<common::duration> start_latencies; // sorted
  std::vector<common::duration> end_latencies;   // sorted; without long-running jobs
};

std::vector<kind_report> report_by_kind(const load_profile& profile,
                                        const std::vector<played_job>& jobs);
// Returns whether every job was accepted and completed.
bool all_served(const std::vector<kind_report>& reports);
// Returns the value that a share of `quantile` (0 to 1) of the values does not exceed, or 0 if
// there are no values.
common::duration quantile_of(const std::vector<common::duration>& sorted, double quantile);

std::string to_table(const std::vector<kind_report>& reports);
std::string to_json(const std::vector<kind_report>& reports);
// Returns a JSON line for a job, with times in milliseconds. Tools/plot-load plots such lines.
std::string to_line(const load_profile& profile, const played_job& job);
// Returns a JSON line for a job that has not been submitted yet, with the body that will be sent.
std::string to_line(const load_profile& profile, const planned_job& job);
} // namespace yardhill::load
