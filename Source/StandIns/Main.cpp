// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Runs the stand-ins for a whole cell, for the platform's table service and instance list, or for a
// zone's workers. For tests and the demo; not part of the product.

#include <csignal>
#include <cstdio>
#include <exception>
#include <map>
#include <sstream>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <docopt/docopt.h>
#include <pplx/threadpool.h>

#include "StandIns/CellStandIn.h"
#include "StandIns/PlatformStandIn.h"
#include "StandIns/WorkerStandIn.h"

namespace
{
constexpr const char* k_usage = R"(Stand-ins for tests and the demo.

Usage:
  yardhill-standins cell --first-port PORT --zones NAMES --workers N [--cpu-millis N]
                         [--memory-mib N] [--service NAME] [--run-time SHARE]
                         [--advice-ports N]
  yardhill-standins platform --port PORT [--writes N] [--reads N] [--list-lag MS]
  yardhill-standins workers --zone ZONE --admin-port PORT [--settings FILE] <file>...

`cell` is the users' platform: store, advice and all workers, as its pages describe them. `platform`
and `workers` are what `yardhill serve` runs on.

Options:
  --first-port PORT  of the store; 2 on, admin; 80 on, advice for each instance, then the workers
  --advice-ports N   how many instances may ask for advice [default: 20]
  --zones NAMES      divided by commas; workers take turns
  --workers N        how many workers in all
  --cpu-millis N     thousandths of a core of each worker [default: 16000]
  --memory-mib N     memory of each worker [default: 32768]
  --service NAME     whose workers they are [default: service]
  --run-time SHARE   how long tasks run, as a share of their estimates [default: 1.0]
  --port PORT        where the platform listens, on 127.0.0.1
  --writes N         writes a second that the table service takes [default: 300]
  --reads N          reads a second that it takes [default: 2000]
  --list-lag MS      how old the instance list is [default: 1000]
  --zone ZONE        the zone whose workers to stand in for
  --admin-port PORT  where faults are set and the record is read, on 127.0.0.1
  --settings FILE    an instance's settings, for the workers' ticket life and task lease
)";

constexpr std::size_t k_library_threads = 4;

void run_cell(const std::map<std::string, docopt::value>& parsed)
{
  yardhill::stand_ins::cell_options options;
  options.first_port = static_cast<std::uint16_t>(std::stoul(parsed.at("--first-port").asString()));
  std::istringstream zones(parsed.at("--zones").asString());
  for (std::string zone; std::getline(zones, zone, ',');)
    options.zones.push_back(zone);
  options.workers = static_cast<std::uint32_t>(std::stoul(parsed.at("--workers").asString()));
  options.capacity.cpu_millis = std::stol(parsed.at("--cpu-millis").asString());
  options.capacity.memory_mib = std::stol(parsed.at("--memory-mib").asString());
  options.service = parsed.at("--service").asString();
  options.run_time_share = std::stod(parsed.at("--run-time").asString());
  options.advice_ports =
      static_cast<std::uint16_t>(std::stoul(parsed.at("--advice-ports").asString()));
  boost::asio::io_context io(1);
  const yardhill::stand_ins::cell_stand_in cell(io, options);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](const boost::system::error_code&, int) { io.stop(); });
  io.run();
}

void wait_for_stop()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int signal = 0;
  sigwait(&signals, &signal);
}

void block_stop_signals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}
} // namespace

int main(int argc, char** argv)
{
  try
  {
    const auto parsed = docopt::docopt(k_usage, {argv + 1, argv + argc}, true);
    if (parsed.at("cell").asBool())
    {
      run_cell(parsed);
      return 0;
    }
    block_stop_signals();
    crossplat::threadpool::initialize_with_threads(k_library_threads);
    if (parsed.at("platform").asBool())
    {
      yardhill::stand_ins::platform_options options;
      options.port = static_cast<std::uint16_t>(std::stoul(parsed.at("--port").asString()));
      options.limits.writes_per_second = std::stod(parsed.at("--writes").asString());
      options.limits.reads_per_second = std::stod(parsed.at("--reads").asString());
      options.list_lag = std::chrono::milliseconds{std::stol(parsed.at("--list-lag").asString())};
      yardhill::stand_ins::platform_stand_in platform(options);
      wait_for_stop();
      return 0;
    }
    const auto admin_port =
        static_cast<std::uint16_t>(std::stoul(parsed.at("--admin-port").asString()));
    const std::string settings =
        parsed.at("--settings") ? parsed.at("--settings").asString() : std::string{};
    yardhill::stand_ins::worker_stand_in workers(parsed.at("<file>").asStringList(), settings,
                                                 parsed.at("--zone").asString(), admin_port);
    wait_for_stop();
    return 0;
  }
  catch (const std::exception& error)
  {
    std::fprintf(stderr, "yardhill-standins: %s\n", error.what());
    return 2;
  }
}
