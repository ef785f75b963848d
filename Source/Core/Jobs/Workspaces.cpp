// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Jobs/Workspaces.h"

#include <limits>

namespace yardhill::jobs
{
namespace
{
std::int64_t bound_of(std::int64_t limit)
{
  return limit > 0 ? limit : std::numeric_limits<std::int64_t>::max();
}
} // namespace

bool workspace_table::add(const workspace& added, const std::vector<std::string>& keys)
{
  if (!m_workspaces.emplace(added.name, added).second)
    return false;
  for (const std::string& key : keys)
    m_names_by_key.emplace(key, added.name);
  return true;
}

const workspace* workspace_table::find_by_key(std::string_view key) const
{
  const auto found = m_names_by_key.find(key);
  return found == m_names_by_key.end() ? nullptr : find(found->second);
}

const workspace* workspace_table::find(const std::string& name) const
{
  const auto found = m_workspaces.find(name);
  return found == m_workspaces.end() ? nullptr : &found->second;
}

std::optional<common::resource_dimension> excess_over(const common::resources& demand,
                                                      const common::resources& limit)
{
  common::resources bounds;
  bounds.cpu_millis = bound_of(limit.cpu_millis);
  bounds.memory_mib = bound_of(limit.memory_mib);
  bounds.accelerators = bound_of(limit.accelerators);
  bounds.slots = bounds.connections = std::numeric_limits<std::int64_t>::max();
  return demand.first_excess(bounds);
}

std::optional<std::string> never_within(const workspace& limits, const job_spec& spec)
{
  for (std::size_t i = 0; i < spec.steps.size(); ++i)
  {
    const step_spec& step = spec.steps[i];
    const common::resources demand =
        step.gang ? common::scaled(step.demand, step.count) : step.demand;
    if (const auto excess = excess_over(demand, limits.max_running))
      return "step " + std::to_string(i) + ": " + (step.gang ? "the gang" : "a task") +
             " needs more " + std::string(common::to_text(*excess)) + " than workspace " +
             limits.name + " may use at a time";
  }
  return std::nullopt;
}
} // namespace yardhill::jobs
