// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Replay/Trace.h"

#include <array>
#include <sstream>
#include <stdexcept>

#include "Common/EnumNames.h"
#include "Common/Json.h"

namespace yardhill::replay
{
namespace
{
constexpr auto k_action_names = std::to_array<std::string_view>({
    "submit",
    "cancel",
    "apply",
    "kill",
    "start",
    "stop",
    "pause",
    "resume",
    "cut",
    "heal",
    "store_outage",
    "store_slow",
    "store_lose",
    "worker_kill",
    "worker_reboot",
    "worker_fail",
    "worker_leave",
    "slow_messages",
});
static_assert(k_action_names.size() == static_cast<std::size_t>(action_kind::count));

json json_of(const trace_action& action)
{
  json line{{"at_us", action.at.time_since_epoch().count()},
            {"do", name_of(k_action_names, action.kind)}};
  if (!action.who.empty())
    line["who"] = action.who;
  if (!action.other.empty())
    line["other"] = action.other;
  if (!action.workload.empty())
    line["workload"] = action.workload;
  if (!action.key.empty())
    line["key"] = action.key;
  if (action.number != 0)
    line["number"] = action.number;
  return line;
}

trace_action action_from(const json& line)
{
  const std::optional<action_kind> kind =
      value_of<action_kind>(k_action_names, line.at("do").get_ref<const std::string&>());
  if (!kind)
    throw std::runtime_error("unknown action " + line.at("do").dump());
  trace_action action;
  action.at = time_point{duration{line.at("at_us").get<std::int64_t>()}};
  action.kind = *kind;
  action.who = line.value("who", "");
  action.other = line.value("other", "");
  action.workload = line.value("workload", "");
  action.key = line.value("key", "");
  action.number = line.value("number", std::int64_t{0});
  return action;
}

trace_header header_from(const json& line)
{
  trace_header header;
  header.seed = line.at("seed").get<std::uint64_t>();
  header.zones = line.at("zones").get<std::uint32_t>();
  header.partitions = line.value("partitions", 1U);
  header.instances = line.at("instances").get<std::uint32_t>();
  header.workers = line.at("workers").get<std::uint32_t>();
  header.config = line.value("config", "");
  header.until = duration{line.at("until_us").get<std::int64_t>()};
  return header;
}
} // namespace

std::string to_json_line(const trace_action& action)
{
  return json_of(action).dump();
}

std::string to_json_lines(const trace& recorded)
{
  const trace_header& header = recorded.header;
  json first{{"seed", header.seed},
             {"zones", header.zones},
             {"partitions", header.partitions},
             {"instances", header.instances},
             {"workers", header.workers},
             {"until_us", header.until.count()}};
  if (!header.config.empty())
    first["config"] = header.config;
  std::string text = first.dump() + "\n";
  for (const trace_action& action : recorded.actions)
    text += to_json_line(action) + "\n";
  return text;
}

trace parse_trace(const std::string& text)
{
  trace recorded;
  std::istringstream lines(text);
  std::string line;
  for (int number = 1; std::getline(lines, line); ++number)
  {
    try
    {
      if (number == 1)
        recorded.header = header_from(json::parse(line));
      else if (!line.empty())
        recorded.actions.push_back(action_from(json::parse(line)));
    }
    catch (const std::exception& error)
    {
      throw std::runtime_error("line " + std::to_string(number) + ": " + error.what());
    }
  }
  return recorded;
}
} // namespace yardhill::replay
