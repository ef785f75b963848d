// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Load/LoadProfile.h"

#include <algorithm>

#include "Common/FieldReader.h"

namespace yardhill::load
{
namespace
{
using common::field_reader;
using std::chrono::milliseconds;

constexpr std::int64_t k_max_workers = 100000;
constexpr std::int64_t k_max_cpu_millis = 1000000; // thousandths of a core
constexpr double k_max_jobs_per_second = 10000.0;

milliseconds duration_in(field_reader& in, const char* name,
                         std::optional<common::duration> default_value = std::nullopt)
{
  return std::chrono::duration_cast<milliseconds>(
      in.time_span(name, common::duration{0}, default_value));
}

load_profile_step step_from(field_reader in)
{
  load_profile_step step;
  jobs::step_spec& spec = step.spec;
  spec.count = static_cast<std::uint32_t>(in.integer("count", {1, jobs::k_max_tasks}));
  spec.demand.cpu_millis = in.integer("cpu_millis", {1, k_max_cpu_millis});
  spec.demand.memory_mib = in.memory_mib("memory");
  spec.estimate = duration_in(in, "estimate");
  spec.checkpointing = in.boolean("checkpointing", false);
  spec.speculative = in.boolean("speculative", false);
  spec.long_running = in.boolean("long_running", false);
  spec.gang = in.boolean("gang", false);
  step.share = in.number("share", {0.0, 1.0}, 1.0);
  if (in.has("most_unavailable"))
  {
    spec.limits_unavailable = true;
    spec.max_unavailable =
        static_cast<std::uint32_t>(in.integer("most_unavailable", {0, spec.count}));
  }
  in.finish();
  return step;
}

job_kind kind_from(field_reader in, const std::string& service)
{
  job_kind kind;
  kind.name = in.text("name");
  kind.queue = {in.text("host"), in.text("path_prefix")};
  kind.policy.service = service;
  kind.policy.priority = static_cast<std::uint32_t>(in.integer("priority", {0, 9}));
  kind.policy.max_attempts = static_cast<std::uint32_t>(in.integer("max_attempts", {1, 100}));
  kind.policy.latency_target = duration_in(in, "latency_target");
  kind.per_second = in.number("per_second", {0.0, k_max_jobs_per_second});
  kind.deadline = duration_in(in, "deadline");
  for (field_reader& step : in.objects("steps"))
    kind.steps.push_back(step_from(step));
  // Each step depends on the previous step.
  for (std::uint32_t i = 1; i < kind.steps.size(); ++i)
    kind.steps[i].spec.depends_on = {i - 1};
  if (kind.steps.empty())
    in.problem("steps", "there is none", "at least one step");
  in.finish();
  return kind;
}
} // namespace

bool job_kind::is_long_running() const
{
  return std::any_of(steps.begin(), steps.end(),
                     [](const load_profile_step& step) { return step.spec.long_running; });
}

std::optional<load_profile> parse_load_profile(const std::string& text, const std::string& file,
                                               common::problem_list& problems)
{
  const std::size_t before = problems.size();
  const auto parsed = common::parse_with_comments(text, file, problems);
  if (!parsed)
    return std::nullopt;
  field_reader in(*parsed, file, "", problems);
  load_profile out;
  out.service = in.text("service");
  out.zones = in.texts("zones");
  if (auto workers = in.object("workers", true))
  {
    out.workers = static_cast<std::uint32_t>(workers->integer("count", {1, k_max_workers}));
    out.worker_capacity.cpu_millis = workers->integer("cpu_millis", {1, k_max_cpu_millis});
    out.worker_capacity.memory_mib = workers->memory_mib("memory");
    workers->finish();
  }
  for (field_reader& kind : in.objects("kinds"))
    out.kinds.push_back(kind_from(kind, out.service));
  in.finish();
  if (problems.size() > before)
    return std::nullopt;
  return out;
}
} // namespace yardhill::load
