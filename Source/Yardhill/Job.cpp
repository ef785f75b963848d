// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// yardhill job: calls instances on the platform, either for a single job of one of a load profile's
// kinds or to generate the load of a whole load profile.

#include <cstdio>
#include <fstream>
#include <map>
#include <random>
#include <sstream>
#include <stdexcept>

#include <boost/asio/io_context.hpp>
#include <docopt/docopt.h>

#include "Http/HttpClient.h"
#include "Load/LoadReport.h"
#include "Node/AsioTimekeeper.h"
#include "Yardhill/Files.h"
#include "Yardhill/Subcommands.h"

namespace yardhill::cli
{
namespace
{
constexpr const char* k_usage =
    R"(Hand jobs to instances on the platform, as their callers do.

Usage:
  yardhill job submit --to ADDRESSES --yard FILE --kind NAME [--id ID] [--payload TEXT]
  yardhill job (status | cancel) --to ADDRESSES --yard FILE --kind NAME --id ID
  yardhill job pending --to ADDRESSES --yard FILE --kind NAME
  yardhill job load --to ADDRESSES --yard FILE [--seconds N] [--rate SHARE] [--seed N] [--json]
                    [--each FILE]
  yardhill job plan --yard FILE [--seconds N] [--rate SHARE] [--seed N]

Options:
  --to ADDRESSES  where instances listen for callers, such as 127.0.0.1:8161, divided by commas
  --yard FILE     the yard's kinds of jobs, JSON with comments; see docs/SETTINGS.md
  --kind NAME     the kind of job; with it the queue
  --id ID         16 hexadecimal digits; a new one if none is given. The same one is the same job
  --payload TEXT  handed to each task; else the kind's name
  --seconds N     for how long jobs are handed in [default: 10]
  --rate SHARE    of the yard's jobs a second [default: 1.0]
  --seed N        the same one gives the same jobs [default: 1]
  --each FILE     one JSON line a job, for Tools/plot-load
  --json          the report as JSON

`load` plays the callers of a whole yard and reports what they saw; `plan` prints the jobs that it
would hand in, one JSON line each: id, kind, time in ms, body.
Exit codes: 0 done, every job served; 1 refused, no such job, some not served; 3 no answer.
)";

// Limits on the calls that are in flight to one instance, on the calls queued for it, and on the
// bytes of an answer.
constexpr http::client_options k_client_options{32, 20000, std::size_t{1} << 20U};
constexpr common::duration k_request_timeout = std::chrono::seconds{3};

using parsed_arguments = std::map<std::string, docopt::value>;

std::vector<common::endpoint> parse_addresses(const parsed_arguments& parsed)
{
  std::vector<common::endpoint> addresses;
  std::istringstream words(parsed.at("--to").asString());
  for (std::string word; std::getline(words, word, ',');)
  {
    const auto address = common::endpoint_from(word);
    if (!address)
      throw std::runtime_error("--to: \"" + word + "\" is not an address with a port");
    addresses.push_back(*address);
  }
  return addresses;
}

load::load_profile read_yard(const parsed_arguments& parsed)
{
  const common::loaded_file file = read_file(parsed.at("--yard").asString());
  common::problem_list problems;
  auto load_profile = load::parse_load_profile(file.text, file.file, problems);
  print_problems(problems);
  if (!load_profile)
    throw std::runtime_error(file.file + " is not a valid yard");
  return *std::move(load_profile);
}

const load::job_kind& find_kind(const parsed_arguments& parsed,
                                const load::load_profile& load_profile)
{
  const std::string name = parsed.at("--kind").asString();
  for (const load::job_kind& kind : load_profile.kinds)
  {
    if (kind.name == name)
      return kind;
  }
  throw std::runtime_error("--kind: the yard has no kind \"" + name + "\"");
}

std::string given_or_new_id(const parsed_arguments& parsed)
{
  if (const auto& option = parsed.at("--id"))
    return option.asString();
  std::random_device device;
  char text[17];
  std::snprintf(text, sizeof text, "%08x%08x", device(), device());
  return text;
}

std::vector<load::planned_job> make_plan(const parsed_arguments& parsed,
                                         const load::load_profile& load_profile)
{
  load::load_options options;
  options.length = std::chrono::duration_cast<common::duration>(
      std::chrono::duration<double>(std::stod(parsed.at("--seconds").asString())));
  options.rate_share = std::stod(parsed.at("--rate").asString());
  options.seed = std::stoull(parsed.at("--seed").asString());
  return load::plan_load(load_profile, options);
}

jobs::job_spec make_job_spec(const parsed_arguments& parsed, const load::job_kind& kind)
{
  jobs::job_spec spec;
  const auto& payload = parsed.at("--payload");
  spec.payload = payload ? payload.asString() : kind.name;
  for (const load::load_profile_step& step : kind.steps)
    spec.steps.push_back(step.spec);
  return spec;
}

int print_answer(const std::string& id, const adapter::caller_answer& answer)
{
  if (!id.empty())
    std::printf("job     %s\n", id.c_str());
  if (answer.state)
    std::printf("state   %s\n", std::string(jobs::to_text(*answer.state)).c_str());
  if (answer.pending)
    std::printf("pending %llu\n", static_cast<unsigned long long>(*answer.pending));
  if (!answer.ok())
    std::fprintf(stderr, "yardhill: status %u: %s\n", answer.status, answer.detail.c_str());
  if (answer.status == 0)
    return k_unreachable;
  return answer.ok() ? k_done : k_refused;
}

int call_once(const parsed_arguments& parsed)
{
  const load::load_profile load_profile = read_yard(parsed);
  const load::job_kind& kind = find_kind(parsed, load_profile);
  const common::endpoint to = parse_addresses(parsed).front();
  const std::string id = parsed.at("pending").asBool() ? std::string() : given_or_new_id(parsed);
  boost::asio::io_context io(1);
  http::http_client http(io, k_client_options);
  adapter::caller_client caller(http);
  adapter::caller_answer answer;
  const auto on_answer = [&answer](const adapter::caller_answer& received) { answer = received; };
  if (parsed.at("submit").asBool())
    caller.submit(to, kind.queue, id, make_job_spec(parsed, kind), k_request_timeout, on_answer);
  else if (parsed.at("status").asBool())
    caller.ask(to, kind.queue, id, k_request_timeout, on_answer);
  else if (parsed.at("cancel").asBool())
    caller.cancel(to, kind.queue, id, k_request_timeout, on_answer);
  else
    caller.count(to, kind.queue, k_request_timeout, on_answer);
  io.run();
  return print_answer(id, answer);
}

int run_load(const parsed_arguments& parsed)
{
  const load::load_profile load_profile = read_yard(parsed);
  const std::vector<load::planned_job> plan = make_plan(parsed, load_profile);
  boost::asio::io_context io(1);
  node::asio_timekeeper time(io);
  http::http_client http(io, k_client_options);
  adapter::caller_client caller(http);
  load::load_runner runner(time, caller, load_profile, parse_addresses(parsed), {});
  runner.play(plan, [&io] { io.stop(); });
  io.run();
  const auto reports = load::report_by_kind(load_profile, runner.jobs());
  std::fputs(parsed.at("--json").asBool() ? (load::to_json(reports) + "\n").c_str()
                                          : load::to_table(reports).c_str(),
             stdout);
  if (const auto& path = parsed.at("--each"))
  {
    std::ofstream file(path.asString());
    for (const load::played_job& job : runner.jobs())
      file << load::to_line(load_profile, job) << "\n";
    if (!file.flush())
      throw std::runtime_error("cannot write " + path.asString());
  }
  return load::all_served(reports) ? k_done : k_refused;
}

int print_plan(const parsed_arguments& parsed)
{
  const load::load_profile load_profile = read_yard(parsed);
  for (const load::planned_job& job : make_plan(parsed, load_profile))
    std::printf("%s\n", load::to_line(load_profile, job).c_str());
  return k_done;
}
} // namespace

int job(const arguments& args)
{
  const auto parsed = docopt::docopt(k_usage, args, true);
  if (parsed.at("load").asBool())
    return run_load(parsed);
  if (parsed.at("plan").asBool())
    return print_plan(parsed);
  return call_once(parsed);
}
} // namespace yardhill::cli
