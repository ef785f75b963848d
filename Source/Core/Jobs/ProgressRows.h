// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// How a job and its progress fit into rows of limited size.
//
// Nearly always the progress takes one row. What does not fit into it goes into continuation rows:
// first which tasks are done, then the begin marks, then the histories of tasks. Software that does
// not know continuation rows reads the first one and ignores the others.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Jobs/JobProgress.h"
#include "Jobs/JobSpec.h"

namespace yardhill::jobs
{
struct row_limits
{
  std::size_t bytes = 48U << 10U; // of a row's text
  // Of one job's progress. All of them together fit into one transaction.
  std::size_t rows = 10;
};

struct progress_rows
{
  std::vector<std::string> texts; // the first row's, then those of the continuation rows
  // What was left out, since it would have taken too many rows.
  std::size_t omitted_checkpoints = 0;
  std::size_t omitted_histories = 0;
};

// The rows for the progress. There are more than `limits.rows` only if those of a job's tasks that
// are done need more, which storage_error() rules out when the job is submitted.
progress_rows to_rows(const job_progress& progress, const row_limits& limits);
// Adds what the next continuation row holds.
void add_continuation(job_progress& progress, const job_progress& continuation);

// The key of the continuation row with that number, from 1; it sorts after the job's first row.
std::string continuation_key(const std::string& job, std::size_t number);
// The job that the continuation row with this key belongs to; none if it is a job's first row.
std::optional<std::string> continued_job(const std::string& key);

// Why the store cannot keep the job; none if its own row and its progress fit, whatever becomes of
// its tasks.
std::optional<std::string> storage_error(const accepted_job& job, const row_limits& limits);
} // namespace yardhill::jobs
