// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// What a load's callers saw, by kind of job.

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
  std::size_t completed = 0; // of jobs that last: begun, and cancelled when they were asked to be
  std::size_t failed = 0;
  std::size_t unended = 0; // accepted, and no end was shown
  std::size_t refusals = 0;
  std::size_t unanswered = 0;
  std::size_t late = 0; // completed after their deadline
  // From the hand-in; as exact as the callers ask often.
  std::vector<common::duration> to_begin; // sorted
  std::vector<common::duration> to_end;   // sorted; of jobs that end by themselves
};

std::vector<kind_report> report_by_kind(const load_profile& of,
                                        const std::vector<played_job>& jobs);
// Whether every job was accepted and ended as it should.
bool all_served(const std::vector<kind_report>& reports);
// The value that `quantile` (0 to 1) of them do not exceed; 0 of none.
common::duration quantile_of(const std::vector<common::duration>& sorted, double quantile);

std::string to_table(const std::vector<kind_report>& reports);
std::string to_json(const std::vector<kind_report>& reports);
// One JSON line for a job, times in milliseconds; Tools/plot-load draws them.
std::string to_line(const load_profile& of, const played_job& job);
// A job that is yet to be handed in, with the body that will be sent.
std::string to_line(const load_profile& of, const planned_job& job);
} // namespace yardhill::load
