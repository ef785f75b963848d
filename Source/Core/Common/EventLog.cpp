// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Common/EventLog.h"

#include <algorithm>
#include <chrono>
#include <memory>

#include <fcntl.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include "Common/SimulationLog.h"

namespace yardhill::common
{
namespace
{
using steady = std::chrono::steady_clock;

// Lines for a slow reader of standard output are buffered up to this many bytes; further lines are
// dropped and counted.
constexpr std::size_t k_max_buffered_bytes = 256U << 10U;
// Lines are written together once this many bytes are buffered, or on flush. A write of up to 4 KiB
// to a pipe is atomic (POSIX: PIPE_BUF is 512 or more, 4,096 on Linux); a larger write may be
// split, and a reader may see a partial line.
constexpr std::size_t k_max_write_bytes = 4U << 10U;

// Buffers lines and writes them to standard output without ever blocking.
class stdout_sink : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
  stdout_sink() { ::fcntl(STDOUT_FILENO, F_SETFL, ::fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK); }

  std::uint64_t dropped() const { return m_dropped; }

protected:
  void sink_it_(const spdlog::details::log_msg& message) override
  {
    if (m_buffer.size() + message.payload.size() > k_max_buffered_bytes)
    {
      ++m_dropped;
      return;
    }
    spdlog::memory_buf_t formatted;
    formatter_->format(message, formatted);
    m_buffer.append(formatted.data(), formatted.size());
    if (m_buffer.size() >= k_max_write_bytes)
      flush_();
  }

  void flush_() override
  {
    while (!m_buffer.empty())
    {
      const ssize_t written =
          ::write(STDOUT_FILENO, m_buffer.data(), bytes_to_write(m_buffer, k_max_write_bytes));
      if (written <= 0)
        return;
      m_buffer.erase(0, static_cast<std::size_t>(written));
    }
  }

private:
  std::string m_buffer;
  std::uint64_t m_dropped = 0;
};

struct event_log_state
{
  std::shared_ptr<stdout_sink> sink;
  std::shared_ptr<spdlog::logger> logger;
  std::function<std::chrono::milliseconds()> simulation_clock;
  bool rate_limited = true;
  double tokens = k_log_burst;
  steady::time_point refilled = steady::now();
  std::uint64_t dropped_over_limit = 0;
  std::uint64_t dropped_reported = 0; // dropped lines that a log_lines_dropped event has counted
};

event_log_state& state()
{
  static event_log_state s_state;
  return s_state;
}

struct field_writer
{
  std::string& out;

  void operator()(std::string_view text) const
  {
    out += nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  }
  void operator()(std::int64_t number) const { out += std::to_string(number); }
  void operator()(double number) const { out += nlohmann::json(number).dump(); }
  void operator()(bool flag) const { out += flag ? "true" : "false"; }
};

void write_line(std::string_view event, std::string_view request,
                std::initializer_list<log_field> fields)
{
  std::string line;
  if (state().simulation_clock)
    line = "\"at_ms\":" + std::to_string(state().simulation_clock().count()) + ",";
  line += "\"event\":\"";
  line += event;
  line += '"';
  if (!request.empty())
  {
    line += ",\"request\":";
    field_writer{line}(request);
  }
  for (const log_field& field : fields)
  {
    line += ",\"";
    line += field.name;
    line += "\":";
    std::visit(field_writer{line}, field.value);
  }
  state().logger->info("{}", line);
}

bool take_token()
{
  event_log_state& log = state();
  if (!log.rate_limited)
    return true;
  const auto now = steady::now();
  const double passed = std::chrono::duration<double>(now - log.refilled).count();
  log.refilled = now;
  log.tokens = std::min(k_log_burst, log.tokens + passed * k_log_lines_per_second);
  if (log.tokens < 1.0)
  {
    ++log.dropped_over_limit;
    return false;
  }
  log.tokens -= 1.0;
  return true;
}
} // namespace

std::size_t bytes_to_write(std::string_view lines, std::size_t most)
{
  if (lines.size() <= most)
    return lines.size();
  const std::size_t last_end = lines.rfind('\n', most - 1);
  return last_end == std::string_view::npos ? most : last_end + 1;
}

void open_event_log(const std::string& process)
{
  event_log_state& log = state();
  log.sink = std::make_shared<stdout_sink>();
  log.logger = std::make_shared<spdlog::logger>("events", log.sink);
  log.logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","process":")" + process + R"(",%v})");
}

void open_simulation_log(const std::string& process)
{
  open_event_log(process);
  state().rate_limited = false;
}

void set_simulation_clock(std::function<std::chrono::milliseconds()> clock)
{
  state().simulation_clock = std::move(clock);
}

void log_process(std::string_view event, std::initializer_list<log_field> fields)
{
  if (!state().logger)
    return;
  write_line(event, {}, fields);
  state().logger->flush();
}

void log_request(std::string_view event, std::string_view request,
                 std::initializer_list<log_field> fields)
{
  if (state().logger && take_token())
    write_line(event, request, fields);
}

void log_request_always(std::string_view event, std::string_view request,
                        std::initializer_list<log_field> fields)
{
  if (state().logger)
    write_line(event, request, fields);
}

void flush_event_log()
{
  event_log_state& log = state();
  if (!log.logger)
    return;
  const std::uint64_t dropped = dropped_log_lines();
  if (dropped > log.dropped_reported)
  {
    write_line("log_lines_dropped", {},
               {{"lines", dropped - log.dropped_reported}, {"total", dropped}});
    log.dropped_reported = dropped;
  }
  log.logger->flush();
}

std::uint64_t dropped_log_lines()
{
  const event_log_state& log = state();
  return log.dropped_over_limit + (log.sink ? log.sink->dropped() : 0);
}
} // namespace yardhill::common
