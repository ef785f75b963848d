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

// Writes a field unless it has its default value, as most fields do: the bytes of a row are billed.
template<class value_type>
void put(json& out, const char* name, const value_type& value, const value_type& default_value)
{
  if (value != default_value)
    out[name] = value;
}

json to_json_value(const step_spec& step)
{
  static const step_spec defaults;
  json out = json::object();
  put(out, "count", step.count, defaults.count);
  put(out, "cpu", step.demand.cpu_millis, std::int64_t{0});
  put(out, "mem", step.demand.memory_mib, std::int64_t{0});
  put(out, "acc", step.demand.accelerators, std::int64_t{0});
  put(out, "estimate", step.estimate.count(), defaults.estimate.count());
  put(out, "after", step.depends_on, defaults.depends_on);
  put(out, "checkpointing", step.checkpointing, false);
  put(out, "gang", step.gang, false);
  put(out, "one_rack", step.one_rack, false);
  put(out, "speculative", step.speculative, false);
  put(out, "long_running", step.long_running, false);
  put(out, "fills", step.uses_idle_cpu, false);
  put(out, "label", step.required_label, defaults.required_label);
  put(out, "rack", step.data_rack, defaults.data_rack);
  put(out, "per_worker", step.max_tasks_per_worker, defaults.max_tasks_per_worker);
  put(out, "image", step.image, defaults.image);
  put(out, "tail", step.tail_latency_target.count(), defaults.tail_latency_target.count());
  put(out, "unavailable", step.max_unavailable, defaults.max_unavailable);
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

std::optional<std::string> validation_error_in(const step_spec& step, std::size_t number)
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

// Visits, round by round, the steps whose dependencies have all been visited. Steps that are never
// visited are part of a cycle or depend on one.
bool has_cycle(const std::vector<step_spec>& steps)
{
  std::vector<bool> visited(steps.size(), false);
  bool progressed = true;
  while (progressed)
  {
    progressed = false;
    for (std::size_t i = 0; i < steps.size(); ++i)
    {
      const auto& dependencies = steps[i].depends_on;
      if (visited[i] || !std::all_of(dependencies.begin(), dependencies.end(),
                                     [&visited](std::uint32_t step) { return visited[step]; }))
        continue;
      visited[i] = true;
      progressed = true;
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
    if (auto mistake = validation_error_in(spec.steps[i], i))
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
  std::vector<milliseconds> paths;
  paths.reserve(steps.size());
  for (const step_spec& step : steps)
    paths.push_back(step.estimate);
  // One round per step is enough, in whatever order the steps depend on each other: a chain is at
  // most that long.
  for (std::size_t round = 0; round < steps.size(); ++round)
  {
    for (std::size_t i = 0; i < steps.size(); ++i)
    {
      for (const std::uint32_t needed : steps[i].depends_on)
        paths[needed] = std::max(paths[needed], steps[needed].estimate + paths[i]);
    }
  }
  return paths;
}

milliseconds critical_path_length(const std::vector<step_spec>& steps)
{
  const std::vector<milliseconds> paths = critical_paths_from(steps);
  return paths.empty() ? milliseconds{0} : *std::max_element(paths.begin(), paths.end());
}

milliseconds latency_objective(const queue_policy& policy, const std::vector<step_spec>& steps)
{
  return policy.latency_target +
         std::chrono::duration_cast<milliseconds>(critical_path_length(steps) * policy.stretch);
}

json to_json_value(const acceptance_terms& terms)
{
  static const queue_policy defaults;
  const queue_policy& policy = terms.policy;
  json out{{"service", policy.service}};
  put(out, "priority", policy.priority, defaults.priority);
  put(out, "attempts", policy.max_attempts, defaults.max_attempts);
  put(out, "stretch", policy.stretch, defaults.stretch);
  put(out, "target", policy.latency_target.count(), defaults.latency_target.count());
  if (policy.advice)
    out["advice"] = {policy.advice->per_call.count(), policy.advice->per_worker.count(),
                     policy.advice->valid.count()};
  const resources& limit = terms.workspace_limit;
  if (limit != resources{})
    out["limit"] = {limit.cpu_millis, limit.memory_mib, limit.accelerators};
  put(out, "weight", terms.workspace_weight, 0.0);
  return out;
}

acceptance_terms acceptance_terms_from(const json& in)
{
  acceptance_terms terms;
  queue_policy& policy = terms.policy;
  policy.service = in.at("service").get<std::string>();
  policy.priority = in.value("priority", policy.priority);
  policy.max_attempts = in.value("attempts", policy.max_attempts);
  policy.stretch = in.value("stretch", policy.stretch);
  policy.latency_target = milliseconds(in.value("target", std::int64_t{0}));
  if (in.contains("advice"))
  {
    const json& advice = in["advice"];
    policy.advice = {milliseconds(advice.at(0).get<std::int64_t>()),
                     std::chrono::microseconds(advice.at(1).get<std::int64_t>()),
                     milliseconds(advice.at(2).get<std::int64_t>())};
  }
  if (in.contains("limit"))
  {
    const json& limit = in["limit"];
    terms.workspace_limit.cpu_millis = limit.at(0).get<std::int64_t>();
    terms.workspace_limit.memory_mib = limit.at(1).get<std::int64_t>();
    terms.workspace_limit.accelerators = limit.at(2).get<std::int64_t>();
  }
  terms.workspace_weight = in.value("weight", 0.0);
  return terms;
}

std::string to_row_text(const accepted_job& job)
{
  json out;
  out["queue"] = job.queue;
  out["home"] = job.home;
  if (!job.workspace.empty())
    out["workspace"] = job.workspace;
  if (job.terms)
    out["terms"] = to_json_value(*job.terms);
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
  job.workspace = in.value("workspace", std::string());
  if (in.contains("terms"))
    job.terms = acceptance_terms_from(in["terms"]);
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
