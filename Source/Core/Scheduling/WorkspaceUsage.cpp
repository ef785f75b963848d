// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/WorkspaceUsage.h"

#include <algorithm>

#include "Common/EventLog.h"
#include "Common/Hash.h"

namespace yardhill::scheduling
{
namespace
{
// Jobs of earlier owners are counted as well, in any order.
constexpr std::size_t k_remembered_seconds = 300;
} // namespace

bool workspace_account::admits(const resources& demand, bool single_task) const
{
  if (single_task && single_tasks && idle())
    return true;
  return !jobs::excess_over(running + unaccounted + demand, limit);
}

std::uint32_t workspace_account::admitted(const resources& demand, std::uint32_t most) const
{
  std::uint32_t count = most;
  const auto bound = [&count](std::int64_t wanted, std::int64_t used, std::int64_t allowed)
  {
    if (allowed == 0 || wanted <= 0)
      return;
    const std::int64_t fitting = std::max<std::int64_t>(0, allowed - used) / wanted;
    count = static_cast<std::uint32_t>(std::min<std::int64_t>(count, fitting));
  };
  const resources used = running + unaccounted;
  bound(demand.cpu_millis, used.cpu_millis, limit.cpu_millis);
  bound(demand.memory_mib, used.memory_mib, limit.memory_mib);
  bound(demand.accelerators, used.accelerators, limit.accelerators);
  return single_tasks && idle() && most > 0 ? std::max(count, 1U) : count;
}

bool workspace_account::count_job(common::time_point accepted)
{
  const auto second = std::chrono::floor<std::chrono::seconds>(accepted.time_since_epoch());
  const std::uint32_t count = ++jobs_by_second[second];
  if (jobs_by_second.size() > k_remembered_seconds)
    jobs_by_second.erase(jobs_by_second.begin());
  return share > 0.0 && count > std::max(1.0, share);
}

workspace_account& workspace_usage::account(const std::string& name)
{
  workspace_account& found = m_accounts[name];
  found.name = name;
  found.single_tasks = common::stable_hash(name) % m_share.partitions == m_share.remainder;
  return found;
}

workspace_account& workspace_usage::account_of(const jobs::accepted_job& job)
{
  workspace_account& found = account(job.workspace);
  if (found.ever_configured || !job.terms || job.accepted_at < found.limit_of_job_at)
    return found;
  found.limit_of_job_at = job.accepted_at;
  set_limit(found, job.terms->workspace_limit, job.terms->workspace_weight);
  return found;
}

void workspace_usage::set_limit(workspace_account& account, const resources& limit,
                                double weight) const
{
  const resources part = part_of(limit);
  if (part != account.limit)
    common::log_process("workspace_limit", {{"workspace", account.name},
                                            {"cpu_millis", part.cpu_millis},
                                            {"memory_mib", part.memory_mib},
                                            {"accelerators", part.accelerators},
                                            {"cpu_millis_used", account.running.cpu_millis},
                                            {"memory_mib_used", account.running.memory_mib}});
  account.limit = part;
  account.share = weight / m_share.partitions;
  account.whole_limit = limit;
  account.whole_weight = weight;
}

void workspace_usage::configure(const std::map<std::string, jobs::workspace>& workspaces)
{
  for (auto& [name, each] : m_accounts)
    each.configured = false;
  for (const auto& [name, configured] : workspaces)
  {
    workspace_account& changed = account(name);
    changed.configured = true;
    changed.ever_configured = true;
    set_limit(changed, configured.max_running, configured.weight);
  }
}

void workspace_usage::clear_unaccounted()
{
  for (auto& [name, each] : m_accounts)
    each.unaccounted = {};
}

// The parts of all partitions add up to the limit at most, unless that is smaller than their
// number: a part is at least 1, since 0 means that there is no limit.
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
