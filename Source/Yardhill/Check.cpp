// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// yardhill check: settings and workload files, checked whole.

#include <cstdio>

#include <docopt/docopt.h>
#include <nlohmann/json.hpp>

#include "Common/ConfigParser.h"
#include "Common/FieldReader.h"
#include "Common/InstanceSettings.h"
#include "Yardhill/Files.h"
#include "Yardhill/Subcommands.h"

namespace yardhill::cli
{
namespace
{
constexpr const char* k_usage = R"(Check settings and workload files.

Usage:
  yardhill check [--json] <file>...

Files with a "cell", "teams" or "workloads" section are checked together as one set; any other
file is taken for an instance's settings. Every mistake is printed in one run.

Options:
  --json  print the mistakes as a JSON list

Exit codes: 0 no mistake; 2 mistakes.
)";

bool belongs_to_set(const common::named_text& file, common::problem_list& problems)
{
  const auto document = common::parse_with_comments(file.text, file.file, problems);
  if (!document || !document->is_object())
    return false;
  return document->contains("cell") || document->contains("teams") ||
         document->contains("workloads");
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
  {
    const std::size_t before = problems.size();
    if (belongs_to_set(file, problems))
      set.push_back(file);
    else if (problems.size() == before)
      common::parse_instance_settings(file.text, file.file, problems);
  }
  if (!set.empty())
    common::parse_cell_config(set, problems);
  if (parsed.at("--json").asBool())
    print_json(problems);
  else
    print_problems(problems);
  return problems.empty() ? k_done : k_wrong_usage;
}
} // namespace yardhill::cli
