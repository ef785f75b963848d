// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// yardhill serve: runs an entry instance.

#include <csignal>
#include <cstdio>
#include <random>
#include <thread>
#include <utility>

#include <docopt/docopt.h>
#include <pplx/threadpool.h>

#include "Common/InstanceSettings.h"
#include "Common/JsonLog.h"
#include "Service/InstanceService.h"
#include "Yardhill/Files.h"
#include "Yardhill/Subcommands.h"

namespace yardhill::cli
{
namespace
{
constexpr const char* k_usage = R"(Run an entry instance. SIGTERM or SIGINT is a planned stop.

Usage:
  yardhill serve --settings FILE

Options:
  --settings FILE  settings in JSON with comments; see docs/SETTINGS.md
)";

// A random identifier of this run of the process. It differs at each start, so that a restarted
// instance counts as a new one.
std::string new_incarnation()
{
  std::random_device device;
  char text[9];
  std::snprintf(text, sizeof text, "%08x", device());
  return text;
}

// Blocks the stop signals in all threads, for a dedicated thread to wait for them. Stopping an
// instance runs code that is unsafe in a signal handler.
sigset_t block_stop_signals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}
} // namespace

int serve(const arguments& args)
{
  const auto parsed = docopt::docopt(k_usage, args, true);
  const common::loaded_file file = read_file(parsed.at("--settings").asString());
  common::problem_list problems;
  const auto settings = common::parse_instance_settings(file.text, file.file, problems);
  if (!settings)
  {
    print_problems(problems);
    return k_wrong_usage;
  }
  const sigset_t signals = block_stop_signals();
  common::open_log(settings->name, settings->log_level);
  crossplat::threadpool::initialize_with_threads(settings->threads);
  service::instance_service instance(*settings, new_incarnation());
  std::thread(
      [&signals, &instance]
      {
        int signal = 0;
        sigwait(&signals, &signal);
        instance.stop();
      })
      .detach();
  instance.run();
  return k_done;
}
} // namespace yardhill::cli
