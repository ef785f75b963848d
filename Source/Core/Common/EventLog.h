// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The process's log: one JSON object a line on standard output, one line a decision.
//
// Lines beyond a budget are dropped and counted, so that a flood of requests cannot make the log
// cost more than the work; lines about the process itself are never dropped.

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "Common/Time.h"

namespace yardhill::common
{
struct log_field
{
  std::string_view name;
  std::variant<std::string_view, std::int64_t, double, bool> value;

  log_field(std::string_view field, std::string_view text) : name(field), value(text) {}
  log_field(std::string_view field, const std::string& text) : name(field), value(text) {}
  log_field(std::string_view field, const char* text) : name(field), value(std::string_view(text))
  {
  }
  log_field(std::string_view field, double number) : name(field), value(number) {}
  log_field(std::string_view field, bool flag) : name(field), value(flag) {}
  template<class integer>
  requires std::is_integral_v<integer> log_field(std::string_view field, integer number)
      : name(field), value(static_cast<std::int64_t>(number))
  {
  }
  // Written in milliseconds.
  log_field(std::string_view field, duration time)
      : name(field), value(static_cast<double>(time.count()) / 1000.0)
  {
  }
};

// How often lines may be written that concern single requests: 300 a second with bursts of 1,500
// is ten times what a standard day's decisions need.
inline constexpr double k_log_lines_per_second = 300.0;
inline constexpr double k_log_burst = 1500.0;

// Opens standard output for the events of `process`. Before this, and in tests, events go nowhere.
void open_event_log(const std::string& process);
// A line about the process: start, stop, reload, a dependency lost or regained, what it believes.
void log_process(std::string_view event, std::initializer_list<log_field> fields);
// A line about one request; counted against the budget.
void log_request(std::string_view event, std::string_view request,
                 std::initializer_list<log_field> fields);
// The same, written whatever the budget: for a few lines a second, which the caller bounds.
void log_request_always(std::string_view event, std::string_view request,
                        std::initializer_list<log_field> fields);
// How much of the buffered lines to write in one go: whole lines, unless one alone is longer.
std::size_t bytes_to_write(std::string_view lines, std::size_t most);
// Writes out what is buffered.
void flush_event_log();
std::uint64_t dropped_log_lines();
} // namespace yardhill::common
