// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Explains the outcome of a request, given its id, from the event logs of all instances.

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "Explain/LogLine.h"

namespace yardhill::explain
{
enum class outcome
{
  unknown, // no line names the request, or the request has not ended
  refused, // its last line is a refusal
  in_time,
  late,
  failed,
  cancelled
};

std::string_view to_text(outcome value);

struct explanation
{
  outcome result = outcome::unknown;
  std::string cause;           // one sentence
  std::vector<log_line> lines; // the request's own lines, ordered by time
  // Lines about processes and workers that may have delayed the request during its longest wait,
  // ordered by time.
  std::vector<log_line> delays;
  // The longest time between two successive lines of the request that show progress.
  std::chrono::milliseconds longest_wait{0};
};

explanation explain(const std::string& request, const std::vector<log_line>& log);

// The explanation as text for an operator. Times are in seconds since the request's first line.
std::string to_text(const explanation& explained);
} // namespace yardhill::explain
