// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Jobs/JobSpec.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace yardhill::jobs
{
namespace
{
using nlohmann::json;

// Fields that have their default are left out, as most do: a row's bytes are paid for.
template<class value_type>
void put(json& out, const char* name, const value_type& value, const value_type& usual)
{
  if (value != usual)
    out[name] = value;
}

json to_json_value(const step_spec& step)
{
  static const step_spec usual;
  json out = json::object();
  put(out, "count", step.count, usual.count);
  put(out, "cpu", step.demand.cpu_millis, std::int64_t{0});
  put(out, "mem", step.demand.memory_mib, std::int64_t{0});
  put(out, "acc", step.demand.accelerators, std::int64_t{0});
  put(out, "estimate", step.estimate.count(), usual.estimate.count());
  put(out, "after", step.depends_on, usual.depends_on);
  put(out, "checkpointing", step.checkpointing, false);
  put(out, "gang", step.gang, false);
  put(out, "one_rack", step.one_rack, false);
  put(out, "speculative", step.speculative, false);
  put(out, "long_running", step.long_running, false);
  put(out, "fills", step.uses_idle_cpu, false);
  put(out, "label", step.required_label, usual.required_label);
  put(out, "rack", step.data_rack, usual.data_rack);
  put(out, "per_worker", step.max_tasks_per_worker, usual.max_tasks_per_worker);
  put(out, "image", step.image, usual.image);
  put(out, "tail", step.tail_latency_target.count(), usual.tail_latency_target.count());
  put(out, "unavailable", step.max_unavailable, usual.max_unavailable);
  put(out, "limits_unavailable", step.limits_unavailable, false);
  return out;
}

step_spec step_from(const json& in)
{
  step_spec step;
  step.count = in.value("count", step.count);
  step.demand.cpu_millis = in.value("cpu", std::int64_t{0});
  step.demand.memory_mib = in.value("mem", std::int64_t{0});
  step.demand.accelerators = in.value("acc", std::int64_t{0});
  step.estimate = milliseconds(in.value("estimate", std::int64_t{0}));
  step.depends_on = in.value("after", step.depends_on);
  step.checkpointing = in.value("checkpointing", false);
  step.gang = in.value("gang", false);
  step.one_rack = in.value("one_rack", false);
  step.speculative = in.value("speculative", false);
  step.long_running = in.value("long_running", false);
  step.uses_idle_cpu = in.value("fills", false);
  step.required_label = in.value("label", std::string());
  step.data_rack = in.value("rack", std::string());
  step.max_tasks_per_worker = in.value("per_worker", 0U);
  step.image = in.value("image", std::string());
  step.tail_latency_target = milliseconds(in.value("tail", std::int64_t{0}));
  step.max_unavailable = in.value("unavailable", 0U);
  step.limits_unavailable = in.value("limits_unavailable", false);
  return step;
}

std::optional<std::string> mistake_in(const step_spec& step, std::size_t number)
{
  const std::string where = "step " + std::to_string(number) + ": ";
  if (step.count == 0)
    return where + "count must be at least 1";
  if (step.demand.cpu_millis < 0 || step.demand.memory_mib < 0 || step.demand.accelerators < 0)
    return where + "demands must not be negative";
  if (step.estimate < milliseconds{0})
    return where + "the estimate must not be negative";
  return std::nullopt;
}

// Steps whose dependencies were all visited, again and again; what is left over is a cycle.
bool has_cycle(const std::vector<step_spec>& steps)
{
  std::vector<bool> visited(steps.size(), false);
  bool moved = true;
  while (moved)
  {
    moved = false;
    for (std::size_t i = 0; i < steps.size(); ++i)
    {
      const auto& needs = steps[i].depends_on;
      if (visited[i] || !std::all_of(needs.begin(), needs.end(),
                                     [&visited](std::uint32_t step) { return visited[step]; }))
        continue;
      visited[i] = true;
      moved = true;
    }
  }
  return std::find(visited.begin(), visited.end(), false) != visited.end();
}
} // namespace

bool job_spec::long_running() const
{
  return std::any_of(steps.begin(), steps.end(),
                     [](const step_spec& step) { return step.long_running; });
}

bool job_spec::may_be_shared(std::size_t partitions) const
{
  return partitions > 1 && repeats == 0 && steps.size() == 1 && steps.front().long_running &&
         !steps.front().gang && steps.front().count >= partitions;
}

std::optional<std::string> validation_error(const job_spec& spec)
{
  if (spec.payload.size() > k_max_payload_bytes)
    return "the payload is longer than " + std::to_string(k_max_payload_bytes) + " bytes";
  if (spec.steps.empty() || spec.steps.size() > k_max_steps)
    return "a job has 1 to " + std::to_string(k_max_steps) + " steps";
  if (spec.repeats > k_max_cycles)
    return "a job has at most " + std::to_string(k_max_cycles) + " repetitions";
  std::uint64_t tasks = 0;
  for (std::size_t i = 0; i < spec.steps.size(); ++i)
  {
    if (auto mistake = mistake_in(spec.steps[i], i))
      return mistake;
    for (const std::uint32_t needed : spec.steps[i].depends_on)
    {
      if (needed >= spec.steps.size())
        return "step " + std::to_string(i) + " depends on a step that is not there";
    }
    tasks += spec.steps[i].count;
  }
  if (tasks > k_max_tasks)
    return "a job has at most " + std::to_string(k_max_tasks) + " tasks";
  if (has_cycle(spec.steps))
    return "the steps depend on each other in a circle";
  return std::nullopt;
}

std::vector<milliseconds> critical_paths_from(const std::vector<step_spec>& steps)
{
  std::vector<milliseconds> chains;
  chains.reserve(steps.size());
  for (const step_spec& step : steps)
    chains.push_back(step.estimate);
  // As many rounds as there are steps settle any order of dependencies.
  for (std::size_t round = 0; round < steps.size(); ++round)
  {
    for (std::size_t i = 0; i < steps.size(); ++i)
    {
      for (const std::uint32_t needed : steps[i].depends_on)
        chains[needed] = std::max(chains[needed], steps[needed].estimate + chains[i]);
    }
  }
  return chains;
}

milliseconds critical_path_length(const std::vector<step_spec>& steps)
{
  const std::vector<milliseconds> chains = critical_paths_from(steps);
  return chains.empty() ? milliseconds{0} : *std::max_element(chains.begin(), chains.end());
}

milliseconds latency_objective(const queue_policy& policy, const std::vector<step_spec>& steps)
{
  return policy.latency_target +
         std::chrono::duration_cast<milliseconds>(critical_path_length(steps) * policy.stretch);
}

std::string to_row_text(const accepted_job& job)
{
  json out;
  out["queue"] = job.queue;
  out["home"] = job.home;
  out["at"] = job.accepted_at.time_since_epoch().count();
  out["payload"] = job.spec.payload;
  out["steps"] = json::array();
  for (const step_spec& step : job.spec.steps)
    out["steps"].push_back(to_json_value(step));
  if (job.spec.repeats > 0)
  {
    out["repeats"] = job.spec.repeats;
    out["interval"] = job.spec.interval.count();
    out["first_due"] = job.spec.first_due.time_since_epoch().count();
  }
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

accepted_job accepted_job_from(const std::string& id, const std::string& text)
{
  const json in = json::parse(text);
  accepted_job job;
  job.id = id;
  job.queue = in.at("queue").get<std::string>();
  job.home = in.at("home").get<std::string>();
  job.accepted_at = wall_time(milliseconds(in.at("at").get<std::int64_t>()));
  job.spec.payload = in.at("payload").get<std::string>();
  for (const json& step : in.at("steps"))
    job.spec.steps.push_back(step_from(step));
  job.spec.repeats = in.value("repeats", 0U);
  job.spec.interval = milliseconds(in.value("interval", std::int64_t{0}));
  job.spec.first_due = wall_time(milliseconds(in.value("first_due", std::int64_t{0})));
  return job;
}
} // namespace yardhill::jobs
