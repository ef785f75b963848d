// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// yardhill load: sends many tasks through all given instances and checks each answer byte for byte.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include <docopt/docopt.h>
#include <pplx/threadpool.h>

#include "Common/Task.h"
#include "Replay/WorkerModel.h"
#include "Yardhill/InstanceClient.h"
#include "Yardhill/Subcommands.h"

namespace yardhill::cli
{
namespace
{
using nlohmann::json;
using clock = std::chrono::steady_clock;

constexpr const char* k_usage = R"(Send many tasks and check each answer.

Usage:
  yardhill load --url URLS --workload NAME [--count N] [--rate N] [--run SPAN-MS] [--bytes N]
                [--keyed PREFIX] [--retries N] [--json]

Options:
  --url URLS       instances' HTTP addresses, divided by commas; they take turns
  --workload NAME  the declared workload
  --count N        how many tasks [default: 100]
  --rate N         tasks a second [default: 100]
  --run SPAN-MS    how long each runs at the stand-in workers, in ms [default: 20]
  --bytes N        size of each result [default: 256]
  --keyed PREFIX   give each task a key, PREFIX-0, PREFIX-1, ...
  --retries N      ask again, elsewhere, this often when refused, cut off or unknown [default: 0]
  --json           print the figures as JSON

Waiting time is from sending the request to having the answer, less the time that the task ran.
Exit codes: 0 every answer was right; 1 some were not.
)";

struct load_plan
{
  std::vector<std::string> urls;
  std::string workload;
  std::size_t count = 0;
  double rate = 0;
  std::int64_t run_us = 0;
  std::size_t bytes = 0;
  std::string key_prefix;
  std::size_t retries = 0;
};

struct load_result
{
  std::mutex lock;
  std::vector<std::int64_t> waits_us;
  std::map<std::string, std::size_t> outcomes;
  std::size_t wrong_bytes = 0;
  std::size_t retried = 0;
};

std::string payload_of(const load_plan& plan, std::size_t index)
{
  return json{{"run_us", plan.run_us},
              {"bytes", plan.bytes},
              {"id", plan.key_prefix + std::to_string(index)}}
      .dump();
}

std::string expected_result(const load_plan& plan, const std::string& payload)
{
  replay::run_plan run;
  run.bytes = plan.bytes;
  run.seed = payload;
  return replay::result_of(run);
}

// The outcome named in the answer's Yardhill-Outcome header; "cut_off" if the header is missing.
std::string outcome_of(const instance_answer& answer)
{
  const auto header = answer.headers.find("Yardhill-Outcome");
  return header == answer.headers.end() ? "cut_off" : header->second;
}

void send_one(const load_plan& plan, std::vector<std::unique_ptr<instance_client>>& clients,
              std::size_t index, load_result& result)
{
  const std::string payload = payload_of(plan, index);
  json request{{"workload", plan.workload}, {"payload", payload}};
  if (!plan.key_prefix.empty())
    request["key"] = plan.key_prefix + "-" + std::to_string(index);
  const auto started_at = clock::now();
  instance_answer answer;
  std::size_t tries = 0;
  for (; tries <= plan.retries; ++tries)
  {
    if (tries > 0)
      std::this_thread::sleep_for(std::chrono::milliseconds{200});
    answer = clients[(index + tries) % clients.size()]->call(web::http::methods::POST, "/v1/tasks",
                                                             request.dump());
    const std::string outcome = outcome_of(answer);
    if (outcome == "done" || outcome == "failed")
      break;
  }
  const auto elapsed =
      std::chrono::duration_cast<std::chrono::microseconds>(clock::now() - started_at);
  const std::lock_guard guard(result.lock);
  result.retried += std::min(tries, plan.retries);
  const std::string outcome = outcome_of(answer);
  ++result.outcomes[outcome];
  if (outcome != "done")
  {
    if (result.outcomes[outcome] <= 3)
      std::fprintf(stderr, "%s: %s", outcome.c_str(), answer.body.c_str());
    return;
  }
  if (answer.body != expected_result(plan, payload))
    ++result.wrong_bytes;
  result.waits_us.push_back(elapsed.count() - std::stoll(answer.headers["Yardhill-Ran-Us"]));
}

void run_load(const load_plan& plan, load_result& result)
{
  constexpr std::size_t max_threads = 64;
  std::atomic<std::size_t> next = 0;
  const auto started_at = clock::now();
  const auto send_tasks = [&]
  {
    std::vector<std::unique_ptr<instance_client>> clients;
    for (const std::string& url : plan.urls)
      clients.push_back(std::make_unique<instance_client>(url));
    for (std::size_t index = next++; index < plan.count; index = next++)
    {
      const std::chrono::duration<double> due{static_cast<double>(index) / plan.rate};
      std::this_thread::sleep_until(started_at + std::chrono::duration_cast<clock::duration>(due));
      send_one(plan, clients, index, result);
    }
  };
  std::vector<std::thread> threads;
  for (std::size_t thread = 0; thread < std::min(max_threads, plan.count); ++thread)
    threads.emplace_back(send_tasks);
  for (std::thread& thread : threads)
    thread.join();
}

std::int64_t quantile_of(std::vector<std::int64_t>& sorted, double quantile)
{
  if (sorted.empty())
    return 0;
  const auto rank = static_cast<std::size_t>(quantile * static_cast<double>(sorted.size() - 1));
  return sorted[rank];
}

std::vector<std::string> split(const std::string& text)
{
  std::vector<std::string> parts;
  std::size_t start = 0;
  while (start <= text.size())
  {
    const std::size_t end = std::min(text.find(',', start), text.size());
    parts.push_back(text.substr(start, end - start));
    start = end + 1;
  }
  return parts;
}

load_plan read_plan(const std::map<std::string, docopt::value>& parsed)
{
  load_plan plan;
  plan.urls = split(parsed.at("--url").asString());
  plan.workload = parsed.at("--workload").asString();
  plan.count = std::stoul(parsed.at("--count").asString());
  plan.rate = std::stod(parsed.at("--rate").asString());
  plan.run_us = std::stoll(parsed.at("--run").asString()) * 1000;
  plan.bytes = std::stoul(parsed.at("--bytes").asString());
  plan.retries = std::stoul(parsed.at("--retries").asString());
  if (parsed.at("--keyed"))
    plan.key_prefix = parsed.at("--keyed").asString();
  return plan;
}
} // namespace

int load(const arguments& args)
{
  const auto parsed = docopt::docopt(k_usage, args, true);
  constexpr std::size_t library_threads = 4;
  crossplat::threadpool::initialize_with_threads(library_threads);
  const load_plan plan = read_plan(parsed);
  load_result result;
  run_load(plan, result);
  std::sort(result.waits_us.begin(), result.waits_us.end());
  const json figures{{"workload", plan.workload},
                     {"sent", plan.count},
                     {"outcomes", result.outcomes},
                     {"wrong_bytes", result.wrong_bytes},
                     {"retried", result.retried},
                     {"wait_p50_us", quantile_of(result.waits_us, 0.5)},
                     {"wait_p99_us", quantile_of(result.waits_us, 0.99)},
                     {"wait_max_us", quantile_of(result.waits_us, 1.0)}};
  if (parsed.at("--json").asBool())
    std::printf("%s\n", figures.dump().c_str());
  else
    std::printf("%s\n", figures.dump(2).c_str());
  const bool all_correct = result.wrong_bytes == 0 && result.waits_us.size() == plan.count;
  return all_correct ? k_done : k_refused;
}
} // namespace yardhill::cli
