// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// From a request's id to what became of it and why, out of the log lines of all instances.

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "Explain/LogLine.h"

namespace yardhill::explain
{
enum class outcome
{
  unknown, // no line names the request, or it has not ended
  refused, // its last line is a refusal
  in_time,
  late,
  failed,
  cancelled
};

std::string_view to_text(outcome how);

struct explanation
{
  outcome how = outcome::unknown;
  std::string cause; // one sentence
  // The request's own lines in order, and those about the processes that fall into its longest
  // wait.
  std::vector<log_line> lines;
  std::vector<log_line> meanwhile;
  std::chrono::milliseconds longest_wait{0}; // between two of its lines
};

explanation explain(const std::string& request, const std::vector<log_line>& log);

// What an operator reads: times in seconds from the request's first line.
std::string to_text(const explanation& told);
} // namespace yardhill::explain
