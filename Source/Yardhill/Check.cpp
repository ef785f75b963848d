// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// yardhill check: validates settings and workload files and reports all mistakes in one run.

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

using file_checker = void (*)(const common::loaded_file& file, common::problem_list& problems);

void check_yard(const common::loaded_file& file, common::problem_list& problems)
{
  load::parse_load_profile(file.text, file.file, problems);
}

void check_platform_settings(const common::loaded_file& file, common::problem_list& problems)
{
  node::parse_node_settings(file.text, file.file, problems);
}

void check_settings(const common::loaded_file& file, common::problem_list& problems)
{
  common::parse_instance_settings(file.text, file.file, problems);
}

// Top-level sections by which a file's type is recognized, with the checker for that type. Files
// with a null checker declare the cell and are checked together as one set.
constexpr std::array<std::pair<const char*, file_checker>, 5> k_checkers_by_section{
    {{"cell", nullptr},
     {"teams", nullptr},
     {"workloads", nullptr},
     {"kinds", check_yard},
     {"callers_address", check_platform_settings}}};

// Adds a file that declares the cell to `set`; checks any other file on its own.
void check_file(const common::loaded_file& file, std::vector<common::loaded_file>& set,
                common::problem_list& problems)
{
  const auto document = common::parse_with_comments(file.text, file.file, problems);
  if (!document)
    return;
  for (const auto& [section, checker] : k_checkers_by_section)
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

int check(const arguments& args)
{
  const auto parsed = docopt::docopt(k_usage, args, true);
  common::problem_list problems;
  std::vector<common::loaded_file> set;
  for (const common::loaded_file& file : read_files(parsed.at("<file>").asStringList()))
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
