// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// yardhill explain: reports the outcome of a request and its cause from the instances' logs.

#include <cstdio>
#include <sstream>

#include <docopt/docopt.h>

#include "Explain/Explanation.h"
#include "Yardhill/Files.h"
#include "Yardhill/Subcommands.h"

namespace yardhill::cli
{
namespace
{
constexpr const char* k_usage =
    R"(Tell what became of a request, and why, out of the logs of all instances.

Usage:
  yardhill explain <id> <file>...

Prints the outcome with its cause, then the lines of the request in order of time; lines marked
with | are about the instances and workers and fall into the request's longest wait.

Exit codes: 0 the request is explained; 1 no line names it.
)";
} // namespace

int explain(const arguments& args)
{
  const auto parsed = docopt::docopt(k_usage, args, true);
  std::vector<explain::log_line> log;
  for (const common::loaded_file& file : read_files(parsed.at("<file>").asStringList()))
  {
    std::istringstream lines(file.text);
    for (std::string text; std::getline(lines, text);)
    {
      if (auto line = explain::log_line_from(text))
        log.push_back(*std::move(line));
    }
  }
  const auto explanation = explain::explain(parsed.at("<id>").asString(), log);
  std::fputs(explain::to_text(explanation).c_str(), stdout);
  return explanation.lines.empty() ? k_refused : k_done;
}
} // namespace yardhill::cli
