// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// yardhill check: settings and workload files, checked whole.

#include <array>
#include <cstdio>
#include <utility>

#include <docopt/docopt.h>
#include <nlohmann/json.hpp>

#include "Common/ConfigParser.h"
#include "Common/FieldReader.h"
#include "Common/InstanceSettings.h"
#include "Load/LoadProfile.h"
#include "Node/NodeSettings.h"
#include "Yardhill/Files.h"
#include "Yardhill/Subcommands.h"

namespace yardhill::cli
{
namespace
{
constexpr const char* k_usage = R"(Check settings and workload files.

Usage:
  yardhill check [--json] <file>...

Files with a "cell", "teams" or "workloads" section are checked together as one set; a file with
"kinds" is a yard for "yardhill job", one with "callers_address" the settings of an instance on the
platform; any other file is taken for settings of "yardhill serve". Every mistake is printed in one
run.

Options:
  --json  print the mistakes as a JSON list

Exit codes: 0 no mistake; 2 mistakes.
)";

using file_checker = void (*)(const common::named_text& file, common::problem_list& problems);

void check_yard(const common::named_text& file, common::problem_list& problems)
{
  load::parse_load_profile(file.text, file.file, problems);
}

void check_platform_settings(const common::named_text& file, common::problem_list& problems)
{
  node::parse_node_settings(file.text, file.file, problems);
}

void check_settings(const common::named_text& file, common::problem_list& problems)
{
  common::parse_instance_settings(file.text, file.file, problems);
}

// A section that tells what a file is; null: it is part of the declared set.
constexpr std::array<std::pair<const char*, file_checker>, 5> k_sections{
    {{"cell", nullptr},
     {"teams", nullptr},
     {"workloads", nullptr},
     {"kinds", check_yard},
     {"callers_address", check_platform_settings}}};

// Adds the file to the set, or checks it by itself.
void check_file(const common::named_text& file, std::vector<common::named_text>& set,
                common::problem_list& problems)
{
  const auto document = common::parse_with_comments(file.text, file.file, problems);
  if (!document)
    return;
  for (const auto& [section, checker] : k_sections)
  {
    if (!document->is_object() || !document->contains(section))
      continue;
    if (checker == nullptr)
      set.push_back(file);
    else
      checker(file, problems);
    return;
  }
  check_settings(file, problems);
}

void print_json(const common::problem_list& problems)
{
  nlohmann::json out = nlohmann::json::array();
  for (const common::file_problem& problem : problems)
    out.push_back({{"file", problem.file},
                   {"field", problem.field},
                   {"what", problem.what},
                   {"allowed", problem.allowed}});
  std::printf("%s\n", out.dump(2).c_str());
}
} // namespace

int check(const arguments& given)
{
  const auto parsed = docopt::docopt(k_usage, given, true);
  common::problem_list problems;
  std::vector<common::named_text> set;
  for (const common::named_text& file : read_files(parsed.at("<file>").asStringList()))
    check_file(file, set, problems);
  if (!set.empty())
    common::parse_cell_config(set, problems);
  if (parsed.at("--json").asBool())
    print_json(problems);
  else
    print_problems(problems);
  return problems.empty() ? k_done : k_wrong_usage;
}
} // namespace yardhill::cli
