// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// yardhill instance: runs an instance on the platform.

#include <cstdio>
#include <cstdlib>
#include <random>
#include <stdexcept>

#include <docopt/docopt.h>

#include "Common/EventLog.h"
#include "Node/NodeService.h"
#include "Yardhill/Files.h"
#include "Yardhill/Subcommands.h"

namespace yardhill::cli
{
namespace
{
constexpr const char* k_usage =
    R"(Run an instance on the platform. SIGTERM or SIGINT is a planned stop.

Usage:
  yardhill instance [--settings FILE]

Options:
  --settings FILE  settings in JSON with comments; see docs/SETTINGS.md. Without it, the file that
                   the variable YARDHILL_BOOT names.
)";

// A random identifier of this run of the process. It differs at each start, so that a restarted
// instance counts as a new holder.
std::string new_incarnation()
{
  std::random_device device;
  char text[17];
  std::snprintf(text, sizeof text, "%08x%08x", device(), device());
  return text;
}

std::string settings_path(const std::map<std::string, docopt::value>& parsed)
{
  if (const auto& option = parsed.at("--settings"))
    return option.asString();
  const char* const path = std::getenv("YARDHILL_BOOT");
  if (path == nullptr)
    throw std::runtime_error("neither --settings nor YARDHILL_BOOT names a settings file");
  return path;
}

std::optional<node::node_settings> read_settings(const std::string& path)
{
  const common::loaded_file file = read_file(path);
  common::problem_list problems;
  auto settings = node::parse_node_settings(file.text, file.file, problems);
  print_problems(problems);
  return settings;
}
} // namespace

int instance(const arguments& args)
{
  const auto parsed = docopt::docopt(k_usage, args, true);
  const std::string path = settings_path(parsed);
  const auto settings = read_settings(path);
  if (!settings)
    return k_wrong_usage;
  common::open_event_log(settings->name);
  node::node_service service(*settings, new_incarnation(), [path] { return read_settings(path); });
  service.run();
  return k_done;
}
} // namespace yardhill::cli
