// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/WorkspaceUsage.h"

#include <algorithm>

#include "Common/EventLog.h"
#include "Common/Hash.h"

namespace yardhill::scheduling
{
bool workspace_account::admits(const resources& demand, bool single_task) const
{
  if (single_task && single_tasks && idle())
    return true;
  return !jobs::excess_over(running + unaccounted + demand, limit);
}

workspace_account& workspace_usage::account(const std::string& name)
{
  workspace_account& found = m_accounts[name];
  found.name = name;
  found.single_tasks = common::stable_hash(name) % m_share.partitions == m_share.remainder;
  return found;
}

void workspace_usage::configure(const std::map<std::string, jobs::workspace>& workspaces)
{
  for (const auto& [name, configured] : workspaces)
  {
    workspace_account& changed = account(name);
    const resources limit = part_of(configured.max_running);
    if (limit != changed.limit)
      common::log_process("workspace_limit", {{"workspace", name},
                                              {"cpu_millis", limit.cpu_millis},
                                              {"memory_mib", limit.memory_mib},
                                              {"accelerators", limit.accelerators},
                                              {"cpu_millis_used", changed.running.cpu_millis},
                                              {"memory_mib_used", changed.running.memory_mib}});
    changed.limit = limit;
    changed.weight = configured.weight;
  }
}

void workspace_usage::clear_unaccounted()
{
  for (auto& [name, each] : m_accounts)
    each.unaccounted = {};
}

// The parts of all partitions add up to the limit at most. A part is at least 1, since 0 means that
// there is no limit.
resources workspace_usage::part_of(const resources& limit) const
{
  const auto part = [this](std::int64_t amount)
  { return amount == 0 ? 0 : std::max<std::int64_t>(1, amount / m_share.partitions); };
  resources parts;
  parts.cpu_millis = part(limit.cpu_millis);
  parts.memory_mib = part(limit.memory_mib);
  parts.accelerators = part(limit.accelerators);
  return parts;
}
} // namespace yardhill::scheduling
