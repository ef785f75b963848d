// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Parses lines of the event log. docs/OPERATIONS.md lists the events.

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
  log_time at; // by the clock of the process that wrote the line
  std::string process;
  std::string event;
  std::string request;   // id of the request; empty: the line is about the process
  nlohmann::json fields; // all other fields

  std::string text(const char* field) const; // empty if there is no such text field
  double number(const char* field) const;    // 0 if there is no such number field
};

// None if the text is not a line of the event log. Text before the JSON object, such as the time
// and host that a log collector adds, is skipped.
std::optional<log_line> log_line_from(std::string_view text);
} // namespace yardhill::explain
