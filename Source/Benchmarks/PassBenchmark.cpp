// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Measures what one pass of a partition's scheduler costs on one core, by the numbers of workers
// and running tasks, for a pass that finds nothing to do and for one after the end of a task was
// reported. Prints one JSON object.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include <docopt/docopt.h>
#include <nlohmann/json.hpp>

#include "Scheduling/JobScheduler.h"

namespace
{
using namespace yardhill;
using namespace yardhill::scheduling;
using wall_clock = std::chrono::steady_clock;

constexpr const char* k_usage = R"(Measure one pass of a partition's scheduler.

Usage:
  yardhill-pass-benchmark [--workers N] [--tasks N] [--waiting N] [--passes N] [--advice]

Options:
  --workers N  workers of the partition [default: 1100]
  --tasks N    running tasks a worker [default: 3]
  --waiting N  jobs that wait since no worker has room for them [default: 100]
  --passes N   passes to measure [default: 400]
  --advice     the queue's policy names the workers; it permits every other one for two seconds
)";

// A partition all of whose workers have reported, with tasks running on each.
class busy_partition
{
public:
  busy_partition(std::uint32_t workers, std::uint32_t tasks, std::uint32_t waiting, bool advice)
      : m_scheduler({}, 0, m_metrics)
  {
    m_scheduler.set_authority(m_now + std::chrono::hours{1}, m_now);
    jobs::queue_policy policy;
    policy.service = "service";
    if (advice)
      policy.advice = {milliseconds{20}, std::chrono::microseconds{200}, milliseconds{2000}};
    m_scheduler.set_advice_slots({64, 64});
    m_scheduler.set_policies({{"queue", policy}});
    for (std::uint32_t i = 0; i < workers; ++i)
      m_scheduler.worker_entry(worker(i), m_now);
    answer_due_holds();
    settle();
    for (std::uint32_t i = 0; i < workers; ++i)
      m_scheduler.add_job(job("running-" + std::to_string(i), tasks, 1000), m_now);
    for (std::uint32_t i = 0; i < (advice ? 200U : 1U); ++i)
      settle();
    answer_due_holds();
    for (std::uint32_t i = 0; i < waiting; ++i)
      m_scheduler.add_job(job("waiting-" + std::to_string(i), 1, advice ? 14500 : 16500), m_now);
    settle();
  }

  // Runs one pass, after the end of a task if `with_end`. Returns its elapsed time in microseconds.
  double pass(bool with_end)
  {
    m_now += std::chrono::milliseconds{1};
    if (with_end && !m_started.empty())
      end_one();
    const auto started_at = wall_clock::now();
    m_scheduler.tick(m_now);
    m_scheduler.has_changes(m_now);
    const auto elapsed = wall_clock::now() - started_at;
    take_commands();
    return std::chrono::duration<double, std::micro>(elapsed).count();
  }

private:
  static worker_info worker(std::uint32_t number)
  {
    worker_info info;
    info.id = common::worker_id("worker-" + std::to_string(number));
    info.address = {"10.0.0.1", static_cast<std::uint16_t>(1 + number)};
    info.zone = "zone-" + std::to_string(number % 5);
    info.service = "service";
    info.capacity.cpu_millis = 16000;
    info.capacity.memory_mib = 32768;
    return info;
  }

  static jobs::accepted_job job(const std::string& id, std::uint32_t tasks, std::int64_t cpu)
  {
    jobs::accepted_job job;
    job.id = id;
    job.queue = "queue";
    jobs::step_spec step;
    step.count = tasks;
    step.demand.cpu_millis = cpu;
    step.demand.memory_mib = 100;
    step.estimate = std::chrono::hours{1};
    job.spec.steps = {step};
    return job;
  }

  void take_commands()
  {
    for (command& issued : m_scheduler.take_commands())
    {
      if (auto* start = std::get_if<start_command>(&issued))
        m_started.push_back(std::move(*start));
      else if (const auto* query = std::get_if<advice_command>(&issued))
        advise(*query);
    }
  }

  void advise(const advice_command& query)
  {
    advice_answer answer{query.step, query.workers, true, {}, milliseconds{2000}, m_now};
    for (std::size_t i = 0; i < query.workers.size(); i += 2)
      answer.permitted.push_back({query.workers[i], "ticket"});
    m_scheduler.advice_answered(answer, m_now);
  }

  void settle()
  {
    for (int i = 0; i < 4; ++i)
    {
      m_scheduler.tick(m_now);
      take_commands();
      m_scheduler.commit_done(m_scheduler.take_commit(100000, m_now), true);
      m_scheduler.set_authority(m_now + std::chrono::hours{1}, m_now);
    }
  }

  // Answers the holds that are due, without reporting an ended run.
  void answer_due_holds()
  {
    std::map<worker_id, std::vector<listed_run>> running;
    for (const start_command& start : m_started)
      running[start.worker].push_back({start.task, start.run, {}, 0, 0});
    m_scheduler.tick(m_now);
    for (const command& issued : m_scheduler.take_commands())
    {
      if (const auto* hold = std::get_if<hold_command>(&issued))
      {
        hold_answer answer{hold->worker, call_end::done, worker_clock_time(1000), 0, {}, {}, m_now};
        answer.running = running[hold->worker];
        m_scheduler.hold_answered(answer, m_now);
      }
    }
  }

  void end_one()
  {
    const start_command ended = m_started.back();
    m_started.pop_back();
    hold_answer answer{ended.worker, call_end::done, {}, 0, {}, {}, m_now};
    answer.ended.push_back({++m_end, ended.task, ended.run, run_outcome::done, {}});
    m_scheduler.hold_answered(answer, m_now);
  }

  time_point m_now{std::chrono::seconds{1000}};
  common::metrics m_metrics;
  job_scheduler m_scheduler;
  std::vector<start_command> m_started;
  end_number m_end = 0;
};

double median_of(std::vector<double> values)
{
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

std::uint32_t number(const docopt::value& text)
{
  return static_cast<std::uint32_t>(text.asLong());
}
} // namespace

int main(int argc, char** argv)
{
  const auto options = docopt::docopt(k_usage, {argv + 1, argv + argc});
  busy_partition partition(number(options.at("--workers")), number(options.at("--tasks")),
                           number(options.at("--waiting")), options.at("--advice").asBool());
  std::vector<double> idle;
  std::vector<double> after_end;
  for (std::uint32_t i = 0; i < number(options.at("--passes")); ++i)
  {
    idle.push_back(partition.pass(false));
    after_end.push_back(partition.pass(true));
  }
  const nlohmann::json out{{"workers", options.at("--workers").asLong()},
                           {"tasks_a_worker", options.at("--tasks").asLong()},
                           {"waiting_jobs", options.at("--waiting").asLong()},
                           {"advice", options.at("--advice").asBool()},
                           {"idle_pass_us", median_of(idle)},
                           {"pass_after_end_us", median_of(after_end)}};
  std::printf("%s\n", out.dump().c_str());
}
