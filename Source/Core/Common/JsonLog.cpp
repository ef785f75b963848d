// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Common/JsonLog.h"

#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace yardhill::common
{
namespace
{
std::string fields_of(const log_line& line)
{
  nlohmann::ordered_json out;
  out["step"] = line.step;
  if (!line.peer.empty())
    out["peer"] = line.peer;
  if (!line.task.empty())
    out["task"] = line.task.value;
  if (line.term != 0)
    out["term"] = line.term;
  out["detail"] = line.detail;
  // Drops the opening brace: the logger's pattern opens the object with the time and the level.
  return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace).substr(1);
}
} // namespace

void open_log(const std::string& process, const std::string& level)
{
  const auto logger = spdlog::stderr_logger_mt("yardhill");
  logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","process":")" + process +
                      R"(",%v)");
  logger->set_level(spdlog::level::from_str(level));
  logger->flush_on(spdlog::level::warn);
  spdlog::set_default_logger(logger);
}

void log_info(const log_line& line)
{
  if (spdlog::should_log(spdlog::level::info))
    spdlog::info("{}", fields_of(line));
}

void log_warning(const log_line& line)
{
  if (spdlog::should_log(spdlog::level::warn))
    spdlog::warn("{}", fields_of(line));
}
} // namespace yardhill::common
