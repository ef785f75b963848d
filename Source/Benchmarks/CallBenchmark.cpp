// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Measures what one call to a worker costs its owner's process, for start requests and for holds
// whose answers list runs and one ended run. The workers answer from another process over the
// loopback address, so `strace -c` on this process counts its system calls without those of the
// workers. Prints one JSON object per kind of call.

#include <chrono>
#include <csignal>
#include <cstdio>
#include <functional>
#include <string>

#include <sys/prctl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <docopt/docopt.h>
#include <nlohmann/json.hpp>

#include "Http/HttpClient.h"
#include "Http/HttpListener.h"
#include "Node/AsioTimekeeper.h"
#include "platform/WireNames.h"
#include "platform/WorkerClient.h"

namespace
{
using namespace yardhill;
using nlohmann::json;
namespace asio = boost::asio;

constexpr const char* k_usage = R"(Measure calls to workers over the loopback address.

Usage:
  yardhill-call-benchmark [--workers N] [--calls N] [--at-once N] [--payload BYTES] [--runs N]

Options:
  --workers N      addresses that are called in turn [default: 200]
  --calls N        calls of each kind [default: 20000]
  --at-once N      calls under way at any time [default: 4]
  --payload BYTES  of the job's text in a start [default: 900]
  --runs N         runs that a hold's answer lists [default: 4]
)";

constexpr std::size_t k_worker_connections = 3;

std::uint32_t to_number(const docopt::value& text)
{
  return static_cast<std::uint32_t>(text.asLong());
}

std::string task_name(std::uint32_t index)
{
  return "c564c1099cdb8ca9.0.0." + std::to_string(index);
}

std::string make_hold_answer(std::uint32_t runs)
{
  json body{{adapter::wire::k_clock_ms, 123456789}, {adapter::wire::k_born, 1771402716018}};
  body[adapter::wire::k_running] = json::array();
  for (std::uint32_t i = 0; i < runs; ++i)
    body[adapter::wire::k_running].push_back({task_name(i), 1001, "", 40, 950});
  body[adapter::wire::k_finished] = {{17, task_name(runs), 1001, "done", ""}};
  return body.dump();
}

// A port on which no process listens at the time of the call.
std::uint16_t free_port()
{
  asio::io_context io;
  const asio::ip::tcp::acceptor probe(io, {asio::ip::address_v4::loopback(), 0});
  return probe.local_endpoint().port();
}

// Answers for all workers, each at an address of its own, until the parent process ends. Writes a
// byte to `ready` once it listens.
[[noreturn]] void serve(std::uint16_t port, std::uint32_t runs, int ready)
{
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  asio::io_context io(1);
  const std::string lists = make_hold_answer(runs);
  const std::string clock = json{{adapter::wire::k_clock_ms, 123456789}}.dump();
  const http::http_listener listener(
      io, {"0.0.0.0", port}, {adapter::wire::k_expected_instance},
      [&](const http::incoming_request& call, const http::responder& respond)
      {
        respond({200,
                 call.target == adapter::wire::k_hold_path ? lists : clock,
                 "application/json",
                 {}});
      });
  const bool ready_sent = ::write(ready, "r", 1) == 1;
  if (ready_sent)
    io.run();
  ::_exit(0);
}

// Processor time used by this process, and its voluntary context switches.
struct usage
{
  double user_us = 0;
  double system_us = 0;
  long voluntary_switches = 0;
};

usage current_usage()
{
  rusage now{};
  ::getrusage(RUSAGE_SELF, &now);
  const auto micros = [](const timeval& time)
  { return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_usec); };
  return {micros(now.ru_utime), micros(now.ru_stime), now.ru_nvcsw};
}

class caller
{
public:
  caller(std::uint16_t port, std::uint32_t workers, std::size_t payload)
      : m_time(m_io),
        m_http(m_io, {k_worker_connections, 2000, 16U << 20U}),
        m_client(m_time, m_http, m_metrics),
        m_port(port),
        m_workers(workers),
        m_payload(payload, 'x')
  {
  }

  using call_kind = void (caller::*)();

  json measure(const char* kind, call_kind call, std::uint32_t calls, std::uint32_t at_once)
  {
    run(call, 3 * m_workers, at_once);
    const usage before = current_usage();
    const auto started_at = std::chrono::steady_clock::now();
    run(call, calls, at_once);
    const std::chrono::duration<double, std::micro> elapsed =
        std::chrono::steady_clock::now() - started_at;
    const usage after = current_usage();
    const double user = (after.user_us - before.user_us) / calls;
    const double system = (after.system_us - before.system_us) / calls;
    return {{"kind", kind},
            {"calls", calls},
            {"at_once", at_once},
            {"failed", m_failed},
            {"user_us", user},
            {"system_us", system},
            {"elapsed_us", elapsed.count() / calls},
            {"sleeps",
             static_cast<double>(after.voluntary_switches - before.voluntary_switches) / calls},
            {"calls_a_second_a_core", 1e6 / (user + system)}};
  }

  void start()
  {
    scheduling::start_command command;
    address_next_worker(command);
    command.task = {"c564c1099cdb8ca9", {0, 0, 42}};
    command.run = 1001;
    command.payload = m_payload;
    command.lease_end = std::chrono::milliseconds{123464289};
    m_client.start(command, m_time.now(),
                   [this](const scheduling::start_answer& answer) { on_answer(answer.end); });
  }

  void hold()
  {
    scheduling::hold_command command;
    address_next_worker(command);
    command.acknowledged = 16;
    command.lease_end = std::chrono::milliseconds{123464289};
    command.wait = std::chrono::milliseconds{2000};
    m_client.hold(command, m_time.now(),
                  [this](const scheduling::hold_answer& answer) { on_answer(answer.end); });
  }

private:
  template<class command_type>
  void address_next_worker(command_type& command)
  {
    m_next = (m_next + 1) % m_workers;
    command.worker = common::worker_id("worker-" + std::to_string(m_next));
    command.address = {
        "127.0." + std::to_string(m_next / 250) + "." + std::to_string(1 + m_next % 250), m_port};
    command.token = 12345;
  }

  void run(call_kind call, std::uint32_t calls, std::uint32_t at_once)
  {
    m_call = call;
    m_remaining = calls;
    m_in_flight = 0;
    for (std::uint32_t i = 0; i < at_once; ++i)
      send_next();
    while (m_in_flight > 0)
      m_io.run_one();
  }

  void send_next()
  {
    if (m_remaining == 0)
      return;
    --m_remaining;
    ++m_in_flight;
    (this->*m_call)();
  }

  void on_answer(scheduling::call_end end)
  {
    m_failed += end == scheduling::call_end::done ? 0 : 1;
    --m_in_flight;
    send_next();
  }

  asio::io_context m_io{1};
  node::asio_timekeeper m_time;
  http::http_client m_http;
  common::metrics m_metrics;
  adapter::worker_client m_client;
  std::uint16_t m_port;
  std::uint32_t m_workers;
  std::string m_payload;
  call_kind m_call = nullptr;
  std::uint32_t m_next = 0;
  std::uint32_t m_remaining = 0;
  std::uint32_t m_in_flight = 0;
  std::uint32_t m_failed = 0;
};
} // namespace

int main(int argc, char** argv)
{
  const auto options = docopt::docopt(k_usage, {argv + 1, argv + argc});
  const std::uint16_t port = free_port();
  int ready[2]; // NOLINT(modernize-avoid-c-arrays): pipe's
  if (::pipe(ready) != 0)
    return 1;
  const pid_t workers = ::fork();
  if (workers == 0)
    serve(port, to_number(options.at("--runs")), ready[1]);
  char byte = 0;
  if (workers < 0 || ::read(ready[0], &byte, 1) != 1)
    return 1;
  caller owner(port, to_number(options.at("--workers")), to_number(options.at("--payload")));
  for (const auto& [name, kind] : {std::pair{"start", &caller::start}, {"hold", &caller::hold}})
  {
    const json out = owner.measure(name, kind, to_number(options.at("--calls")),
                                   to_number(options.at("--at-once")));
    std::printf("%s\n", out.dump().c_str());
  }
  ::kill(workers, SIGKILL);
}
