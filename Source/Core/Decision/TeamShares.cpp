// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Decision/TeamShares.h"

#include <algorithm>

namespace yardhill::decision
{
namespace
{
resources capacity_of(const cell_config& cell)
{
  resources sum;
  for (const zone_config& zone : cell.zones)
  {
    for (const worker_config& worker : zone.workers)
      sum += worker.capacity;
  }
  return sum;
}

double part_of(std::int64_t part, std::int64_t whole)
{
  return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
}
} // namespace

void team_shares::configure(const cell_config& cell, const resources& partition_capacity)
{
  m_capacity = partition_capacity;
  const double here = part_of(partition_capacity.cpu_millis, capacity_of(cell).cpu_millis);
  double weights = 0;
  for (const team_config& team : cell.teams)
    weights += team.weight;
  for (const team_config& team : cell.teams)
  {
    account& changed = m_accounts[team.id];
    const bool has_quota = team.quota != resources{};
    changed.entitled = has_quota
                           ? scaled(team.quota, here)
                           : scaled(partition_capacity, team.weight / std::max(weights, 1e-9));
    update(changed);
  }
}

void team_shares::started(const team_id& team, const resources& demand)
{
  account& changed = m_accounts[team];
  changed.used += demand;
  update(changed);
}

void team_shares::ended(const team_id& team, const resources& demand)
{
  account& changed = m_accounts[team];
  changed.used -= demand;
  update(changed);
}

double team_shares::ratio(const team_id& team) const
{
  const auto found = m_accounts.find(team);
  return found == m_accounts.end() ? 0.0 : found->second.ratio;
}
} // namespace yardhill::decision
