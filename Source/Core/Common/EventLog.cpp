// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Common/EventLog.h"

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

// Lines are written together once this many bytes are buffered, or on flush. A write of up to 4 KiB
// to a pipe is atomic (POSIX: PIPE_BUF is 512 or more, 4,096 on Linux); a larger write may be
// split, and a reader may see a partial line.
constexpr std::size_t k_max_write_bytes = 4U << 10U;

// Buffers lines and writes them to standard output without ever blocking. The size of the buffer is
// bounded by log_budget.
class stdout_sink : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
  stdout_sink() { ::fcntl(STDOUT_FILENO, F_SETFL, ::fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK); }

  std::size_t buffered() const { return m_buffer.size(); }

protected:
  void sink_it_(const spdlog::details::log_msg& message) override
  {
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
};

time_point current_time()
{
  return time_point{std::chrono::duration_cast<duration>(steady::now().time_since_epoch())};
}

struct event_log_state
{
  std::shared_ptr<stdout_sink> sink;
  std::shared_ptr<spdlog::logger> logger;
  std::function<std::chrono::milliseconds()> simulation_clock;
  log_budget budget{current_time()};
  dropped_lines dropped_reported; // dropped lines that a log_lines_dropped event has counted
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

void write_line(log_group group, std::string_view event, std::string_view request,
                std::initializer_list<log_field> fields)
{
  event_log_state& log = state();
  // Decided before the line is composed, so that a dropped line costs little.
  if (!log.logger || !log.budget.admit(group, log.sink->buffered(), current_time()))
    return;
  std::string line;
  if (log.simulation_clock)
    line = "\"at_ms\":" + std::to_string(log.simulation_clock().count()) + ",";
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
  log.logger->info("{}", line);
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
  state().budget = log_budget(current_time(), log_budget::rates::unlimited);
}

void set_simulation_clock(std::function<std::chrono::milliseconds()> clock)
{
  state().simulation_clock = std::move(clock);
}

void log_process(std::string_view event, std::initializer_list<log_field> fields)
{
  write_line(log_group::process, event, {}, fields);
  if (state().logger)
    state().logger->flush();
}

void log_decision(std::string_view event, std::string_view request,
                  std::initializer_list<log_field> fields)
{
  write_line(log_group::decisions, event, request, fields);
}

void log_request(std::string_view event, std::string_view request,
                 std::initializer_list<log_field> fields)
{
  write_line(log_group::repeating, event, request, fields);
}

void log_request_always(std::string_view event, std::string_view request,
                        std::initializer_list<log_field> fields)
{
  write_line(log_group::limited_by_caller, event, request, fields);
}

void flush_event_log()
{
  event_log_state& log = state();
  if (!log.logger)
    return;
  log.logger->flush();
  const dropped_lines dropped = log.budget.dropped();
  // While the reader is slow, the line waits, so that it cannot itself be dropped and counted.
  if (dropped.total() == log.dropped_reported.total() || log.sink->buffered() > 0)
    return;
  const dropped_lines& before = log.dropped_reported;
  log_process("log_lines_dropped", {{"lines", dropped.total() - before.total()},
                                    {"decisions", dropped.decisions - before.decisions},
                                    {"repeating", dropped.repeating - before.repeating},
                                    {"process_lines", dropped.process - before.process},
                                    {"total", dropped.total()}});
  log.dropped_reported = dropped;
}

dropped_lines dropped_log_lines()
{
  return state().budget.dropped();
}
} // namespace yardhill::common
