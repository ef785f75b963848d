// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Measures the decision core by itself on one core: placements per second, time per decision,
// memory use, and the sizes of the messages that it exchanges. Each line of output is one JSON
// object, for Tools/bench.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <docopt/docopt.h>
#include <unistd.h>

#include "Common/ConfigParser.h"
#include "Common/Json.h"
#include "Common/WorkerMessages.h"
#include "Decision/PartitionScheduler.h"

namespace
{
using namespace yardhill::common;
using namespace yardhill::decision;
using wall_clock = std::chrono::steady_clock;

constexpr const char* k_usage = R"(Measure the decision core of one partition.

Usage:
  yardhill-benchmarks [--workers N] [--running N] [--teams N] [--tasks N]

Options:
  --workers N  workers of the partition [default: 50]
  --running N  tasks that run all the time [default: 300]
  --teams N    teams, each with a batch and an interactive workload [default: 4]
  --tasks N    placements to measure [default: 20000]
)";

std::string make_document(std::size_t workers, std::size_t teams)
{
  json document;
  document["cell"]["interactive_headroom"] = 0.0;
  document["cell"]["zones"] = json::array({{{"name", "z"},
                                            {"workers", json::array({{{"prefix", "w"},
                                                                      {"count", workers},
                                                                      {"host", "127.0.0.1"},
                                                                      {"first_port", 1},
                                                                      {"processors", 32},
                                                                      {"memory", "64GiB"}}})}}});
  for (std::size_t team = 0; team < teams; ++team)
  {
    const std::string name = "team" + std::to_string(team);
    document["teams"].push_back({{"name", name}});
    for (const char* kind : {"batch", "interactive"})
      document["workloads"].push_back({{"name", name + "-" + kind},
                                       {"team", name},
                                       {"kind", kind},
                                       {"processors", 1},
                                       {"memory", "1GiB"}});
  }
  return document.dump();
}

std::size_t resident_kib()
{
  std::ifstream statm("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  statm >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) / 1024;
}

// The scheduler, with simulated workers that carry out each request at once.
class scheduler_bench
{
public:
  scheduler_bench(const cell_config& cell, std::size_t teams)
      : m_scheduler({zone_id{"z"}, 0}, m_options, k_yardhill_policy, m_metrics),
        m_teams(teams),
        m_cell(cell)
  {
    m_scheduler.configure(cell, m_now);
    m_scheduler.begin_term(1, time_point{}, m_now);
    m_scheduler.records_loaded({}, m_now);
    m_scheduler.set_placement_scope(placement_scope::all);
    for (const worker_config& worker : cell.zones.front().workers)
    {
      m_ids.push_back(worker.id);
      m_running[worker.id];
      report(worker.id, {});
    }
  }

  // Takes one task from its submission to the worker's acceptance. Returns the time that the
  // decision took.
  std::chrono::nanoseconds place_one()
  {
    m_now += std::chrono::microseconds{50};
    task_spec spec = task_of(m_cell.workloads[m_random() % (m_teams * 2)]);
    spec.id = make_task_id(spec.workload, "z~" + std::to_string(++m_sent));
    const auto started_at = wall_clock::now();
    m_scheduler.submit(spec, true, {{}, m_sent}, m_now);
    m_scheduler.advance(m_now);
    const scheduler_output out = m_scheduler.take_output();
    const auto elapsed = wall_clock::now() - started_at;
    for (const worker_start& start : out.starts)
      accept(start);
    return elapsed;
  }

  void end_one()
  {
    const worker_id& worker = m_ids[m_random() % m_ids.size()];
    std::vector<attempt_id>& running = m_running[worker];
    if (running.empty())
      return;
    ended_attempt ended;
    ended.sequence = ++m_sequences[worker];
    ended.id = running.back();
    ended.result = attempt_result::done;
    ended.body = "result";
    running.pop_back();
    --m_running_count;
    report(worker, {ended});
    m_scheduler.advance(m_now);
    for (const worker_start& start : m_scheduler.take_output().starts)
      accept(start);
  }

  // Reports from a random worker without any change.
  void report_idle() { report(m_ids[m_random() % m_ids.size()], {}); }

  std::size_t running() const { return m_running_count; }

private:
  void accept(const worker_start& start)
  {
    m_running[start.worker].push_back(start.order.id);
    ++m_running_count;
    start_answer answer;
    answer.moment = ++m_moment;
    answer.results.push_back({start.order.id, start_refusal::none});
    m_scheduler.start_answered(start.worker, answer, m_now);
  }

  void report(const worker_id& worker, std::vector<ended_attempt> ended)
  {
    claim_answer update;
    update.accepted = true;
    update.boot = "boot";
    update.moment = ++m_moment;
    for (const attempt_id& id : m_running[worker])
      update.running.push_back({id, {}});
    update.ended = std::move(ended);
    m_scheduler.worker_reported(worker, update, false, m_now);
  }

  scheduling_options m_options;
  metrics m_metrics;
  partition_scheduler m_scheduler;
  std::size_t m_teams;
  cell_config m_cell;
  std::mt19937_64 m_random{1};
  time_point m_now{std::chrono::seconds{1}};
  std::vector<worker_id> m_ids;
  std::map<worker_id, std::vector<attempt_id>> m_running;
  std::map<worker_id, std::uint64_t> m_sequences;
  std::uint64_t m_moment = 1;
  std::uint64_t m_sent = 0;
  std::size_t m_running_count = 0;
};

double microseconds(std::chrono::nanoseconds value)
{
  return std::chrono::duration<double, std::micro>(value).count();
}

json claim_sizes()
{
  claim_request request;
  request.partition = {zone_id{"kakkanad"}, 0};
  request.term = 1;
  request.owner = instance_id{"kakkanad-1@01234567"};
  request.acknowledged_boot = "1234567890-1";
  claim_answer answer;
  answer.owner = request.owner;
  answer.boot = request.acknowledged_boot;
  const std::size_t empty = to_json_text(answer).size();
  answer.running.push_back(
      {{task_id{"nightly-rebuild/kakkanad~kakkanad-1@01234567-1000"}, 1, 0}, {}});
  return {{"claim_request_bytes", to_json_text(request).size()},
          {"claim_answer_bytes", empty},
          {"bytes_per_running_task", to_json_text(answer).size() - empty}};
}
} // namespace

int main(int argc, char** argv)
{
  const auto parsed = docopt::docopt(k_usage, {argv + 1, argv + argc}, true);
  const auto number = [&parsed](const char* name)
  { return std::stoul(parsed.at(name).asString()); };
  const std::size_t workers = number("--workers");
  const std::size_t running = number("--running");
  const std::size_t teams = number("--teams");
  const std::size_t tasks = number("--tasks");

  const std::string document = make_document(workers, teams);
  problem_list problems;
  const auto parse_started_at = wall_clock::now();
  const cell_config cell = parse_cell_config({{"bench", document}}, problems).value();
  const auto parse_elapsed = wall_clock::now() - parse_started_at;

  const std::size_t before_kib = resident_kib();
  scheduler_bench core(cell, teams);
  const std::size_t empty_kib = resident_kib();
  while (core.running() < running)
    core.place_one();
  const std::size_t full_kib = resident_kib();

  std::vector<std::chrono::nanoseconds> decisions;
  const auto started_at = wall_clock::now();
  for (std::size_t task = 0; task < tasks; ++task)
  {
    core.end_one();
    decisions.push_back(core.place_one());
  }
  const auto elapsed = wall_clock::now() - started_at;

  const auto reports_started_at = wall_clock::now();
  for (std::size_t report = 0; report < tasks; ++report)
    core.report_idle();
  const auto reports_elapsed = wall_clock::now() - reports_started_at;

  std::ranges::sort(decisions);
  json out = claim_sizes();
  out.update({{"workers", workers},
              {"running", running},
              {"teams", teams},
              {"placements_per_second",
               static_cast<double>(tasks) / std::chrono::duration<double>(elapsed).count()},
              {"decision_p50_us", microseconds(decisions[decisions.size() / 2])},
              {"decision_p99_us", microseconds(decisions[decisions.size() * 99 / 100])},
              {"decision_max_us", microseconds(decisions.back())},
              {"idle_report_us", microseconds(reports_elapsed) / static_cast<double>(tasks)},
              {"bytes_per_running_task_resident",
               static_cast<double>(full_kib - empty_kib) * 1024 / static_cast<double>(running)},
              {"bytes_per_worker_resident",
               static_cast<double>(empty_kib - before_kib) * 1024 / static_cast<double>(workers)},
              {"config_bytes", document.size()},
              {"config_parse_us", microseconds(parse_elapsed)}});
  std::printf("%s\n", out.dump().c_str());
  return 0;
}
