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

// What may wait for a reader of standard output that is slow; more is dropped and counted.
constexpr std::size_t k_most_buffered = 256U << 10U;
// Lines are written together once this many bytes wait, or on flush. A pipe takes up to 4 KiB whole
// (POSIX: PIPE_BUF is 512 or more, 4,096 on Linux); of more, a reader may see a torn line.
constexpr std::size_t k_most_written = 4U << 10U;

// Collects lines and writes them without ever blocking.
class stdout_sink : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
  stdout_sink() { ::fcntl(STDOUT_FILENO, F_SETFL, ::fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK); }

  std::uint64_t dropped() const { return m_dropped; }

protected:
  void sink_it_(const spdlog::details::log_msg& message) override
  {
    if (m_buffer.size() + message.payload.size() > k_most_buffered)
    {
      ++m_dropped;
      return;
    }
    spdlog::memory_buf_t formatted;
    formatter_->format(message, formatted);
    m_buffer.append(formatted.data(), formatted.size());
    if (m_buffer.size() >= k_most_written)
      flush_();
  }

  void flush_() override
  {
    while (!m_buffer.empty())
    {
      const ssize_t written =
          ::write(STDOUT_FILENO, m_buffer.data(), bytes_to_write(m_buffer, k_most_written));
      if (written <= 0)
        return;
      m_buffer.erase(0, static_cast<std::size_t>(written));
    }
  }

private:
  std::string m_buffer;
  std::uint64_t m_dropped = 0;
};

struct open_log_state
{
  std::shared_ptr<stdout_sink> sink;
  std::shared_ptr<spdlog::logger> logger;
  std::function<std::chrono::milliseconds()> play_clock;
  bool bounded = true;
  double budget = k_log_burst;
  steady::time_point refilled = steady::now();
  std::uint64_t over_budget = 0;
  std::uint64_t reported = 0;
};

open_log_state& state()
{
  static open_log_state s_state;
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
  if (state().play_clock)
    line = "\"at_ms\":" + std::to_string(state().play_clock().count()) + ",";
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

bool take_from_budget()
{
  open_log_state& log = state();
  if (!log.bounded)
    return true;
  const auto now = steady::now();
  const double passed = std::chrono::duration<double>(now - log.refilled).count();
  log.refilled = now;
  log.budget = std::min(k_log_burst, log.budget + passed * k_log_lines_per_second);
  if (log.budget < 1.0)
  {
    ++log.over_budget;
    return false;
  }
  log.budget -= 1.0;
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
  open_log_state& log = state();
  log.sink = std::make_shared<stdout_sink>();
  log.logger = std::make_shared<spdlog::logger>("events", log.sink);
  log.logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","process":")" + process + R"(",%v})");
}

void open_simulation_log(const std::string& process)
{
  open_event_log(process);
  state().bounded = false;
}

void set_simulation_clock(std::function<std::chrono::milliseconds()> clock)
{
  state().play_clock = std::move(clock);
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
  if (state().logger && take_from_budget())
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
  open_log_state& log = state();
  if (!log.logger)
    return;
  const std::uint64_t dropped = dropped_log_lines();
  if (dropped > log.reported)
  {
    write_line("log_lines_dropped", {}, {{"lines", dropped - log.reported}, {"total", dropped}});
    log.reported = dropped;
  }
  log.logger->flush();
}

std::uint64_t dropped_log_lines()
{
  const open_log_state& log = state();
  return log.over_budget + (log.sink ? log.sink->dropped() : 0);
}
} // namespace yardhill::common
