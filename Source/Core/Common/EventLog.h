// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The event log of the process on standard output: one line for each decision, each a JSON object.
//
// Lines about requests are rate-limited: lines over the limit are dropped and counted, so that
// logging a flood of requests cannot cost more than serving it. The decisions on a request have a
// budget of their own (LogBudget.h), so that repeating lines cannot displace them. The limit does
// not apply to lines about the process itself.

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "Common/LogBudget.h"
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

// Starts writing the events of `process` to standard output. Events logged before this call, and
// in tests that never call it, are discarded.
void open_event_log(const std::string& process);
// Logs an event of the process itself: start, stop, reload, a dependency lost or regained, its view
// of the cell. The line is written at once.
void log_process(std::string_view event, std::initializer_list<log_field> fields);
// Logs a decision on a request: its acceptance, refusal, cancellation, starts or end. Subject to
// the budget of decisions. Use log_request for events that may recur for the same request without a
// bound.
void log_decision(std::string_view event, std::string_view request,
                  std::initializer_list<log_field> fields);
// Logs any other event of one request; subject to the budget of repeating lines.
void log_request(std::string_view event, std::string_view request,
                 std::initializer_list<log_field> fields);
// Like log_request, without the rate limit: for events that the calling code itself limits to a few
// lines per second.
void log_request_always(std::string_view event, std::string_view request,
                        std::initializer_list<log_field> fields);
// How many bytes of the buffered `lines` to pass to one write: at most `most`, ending after a whole
// line unless the first line alone is longer than that.
std::size_t bytes_to_write(std::string_view lines, std::size_t most);
// Writes the buffered lines and, if further lines have been dropped, a line with their number.
void flush_event_log();
// The lines dropped since the process started.
dropped_lines dropped_log_lines();
} // namespace yardhill::common
