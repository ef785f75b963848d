// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// A line of the log as it is read back. docs/OPERATIONS.md lists the events.

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace yardhill::explain
{
using log_time = std::chrono::sys_time<std::chrono::milliseconds>;

struct log_line
{
  log_time at; // by the clock of the process that wrote it
  std::string process;
  std::string event;
  std::string request; // empty: about the process
  nlohmann::json fields;

  std::string text(const char* field) const;
  double number(const char* field) const; // 0 if it is not there
};

// Nothing for a line that is none of ours. What stands before the object, such as a collector's
// own time and host, is passed over.
std::optional<log_line> log_line_from(std::string_view text);
} // namespace yardhill::explain
