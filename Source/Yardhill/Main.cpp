// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Entry point of the yardhill program: dispatches to the subcommand named on the command line.

#include <array>
#include <cstdio>
#include <exception>
#include <map>
#include <string>
#include <vector>

#include <docopt/docopt.h>

#include "Yardhill/Subcommands.h"

namespace
{
constexpr const char* k_usage = R"(yardhill: a cluster scheduler for unlike workloads.

Usage:
  yardhill <command> [<args>...]
  yardhill --help | --version

Commands:
  instance run an instance on the platform
  job      hand jobs to instances on the platform, or play a whole yard's load
  serve    run an entry instance
  check    check settings and workload files
  apply    put a set of files into force
  diff     show what applying a set of files would change
  config   show the configuration in force
  submit   run a task
  status   show a task, or an instance
  cancel   cancel a task
  drain    stop an instance as planned, or take a worker out of use
  explain  tell what became of a request, out of the instances' logs
  replay   feed a recorded trace to the decision core, in virtual time
  load     send many tasks and check each answer

Run "yardhill <command> --help" for each. Exit codes: 0 done; 1 refused, failed or different;
2 wrong usage or files; 3 the instance could not be reached, or the result is unknown.
)";

struct subcommand
{
  const char* name;
  yardhill::cli::subcommand_function run;
};

constexpr std::array<subcommand, 14> k_subcommands{{
    {"instance", yardhill::cli::instance},
    {"job", yardhill::cli::job},
    {"serve", yardhill::cli::serve},
    {"check", yardhill::cli::check},
    {"apply", yardhill::cli::apply},
    {"diff", yardhill::cli::diff},
    {"config", yardhill::cli::config},
    {"submit", yardhill::cli::submit},
    {"status", yardhill::cli::status},
    {"cancel", yardhill::cli::cancel},
    {"drain", yardhill::cli::drain},
    {"explain", yardhill::cli::explain},
    {"replay", yardhill::cli::replay},
    {"load", yardhill::cli::load},
}};
} // namespace

int main(int argc, char** argv)
{
  try
  {
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const auto parsed = docopt::docopt(k_usage, arguments, true, "yardhill 0.1.0", true);
    const std::string name = parsed.at("<command>").asString();
    for (const subcommand& candidate : k_subcommands)
    {
      if (name == candidate.name)
        return candidate.run(arguments);
    }
    std::fprintf(stderr, "yardhill: there is no command \"%s\"; see yardhill --help\n",
                 name.c_str());
    return yardhill::cli::k_wrong_usage;
  }
  catch (const std::exception& error)
  {
    std::fprintf(stderr, "yardhill: %s\n", error.what());
    return yardhill::cli::k_wrong_usage;
  }
}
