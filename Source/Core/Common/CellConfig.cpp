// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Common/CellConfig.h"

#include <algorithm>

#include "Common/Hash.h"

namespace yardhill::common
{
namespace
{
template<class element, class id_type>
const element* find_by_id(const std::vector<element>& elements, const id_type& id)
{
  const auto found = std::ranges::find(elements, id, &element::id);
  return found == elements.end() ? nullptr : &*found;
}

template<class id_range>
zone_id rendezvous(const task_id& task, const id_range& zones)
{
  zone_id best;
  std::uint64_t best_score = 0;
  for (const zone_id& zone : zones)
  {
    const std::uint64_t score = stable_hash(task.value, stable_hash(zone.value));
    if (best.empty() || score > best_score)
    {
      best = zone;
      best_score = score;
    }
  }
  return best;
}
} // namespace

const zone_config* cell_config::find_zone(const zone_id& id) const
{
  return find_by_id(zones, id);
}

const team_config* cell_config::find_team(const team_id& id) const
{
  return find_by_id(teams, id);
}

const workload_config* cell_config::find_workload(const workload_id& id) const
{
  return find_by_id(workloads, id);
}

task_id make_task_id(const workload_id& workload, const std::string& key)
{
  return task_id{workload.value + "/" + key};
}

workload_id workload_of(const task_id& task)
{
  return workload_id{task.value.substr(0, task.value.find('/'))};
}

zone_id home_zone(const task_id& task, const workload_config& workload, const cell_config& cell)
{
  const std::size_t mark = task.value.find(k_generated_key_mark);
  if (mark != std::string::npos)
  {
    const std::size_t start = task.value.find('/') + 1;
    return zone_id{task.value.substr(start, mark - start)};
  }
  if (!workload.zones.empty())
    return rendezvous(task, workload.zones);
  std::vector<zone_id> all;
  for (const zone_config& zone : cell.zones)
    all.push_back(zone.id);
  return rendezvous(task, all);
}

partition_id home_partition(const task_id& task, const zone_config& zone)
{
  const std::uint64_t index = stable_hash(task.value) % std::max(1U, zone.partitions);
  return {zone.id, static_cast<std::uint32_t>(index)};
}

task_id replica_task_id(const workload_id& workload, std::uint32_t replica)
{
  return make_task_id(workload, "replica-" + std::to_string(replica));
}

task_spec task_of(const workload_config& workload)
{
  task_spec spec;
  spec.workload = workload.id;
  spec.team = workload.team;
  spec.kind = workload.kind;
  spec.demand = workload.demand;
  spec.members = workload.members;
  spec.priority = workload.priority;
  spec.expected_run = workload.expected_run;
  spec.deadline = workload.deadline;
  spec.repeatable = workload.repeatable;
  spec.max_attempts = workload.max_attempts;
  spec.payload = workload.payload;
  return spec;
}
} // namespace yardhill::common
