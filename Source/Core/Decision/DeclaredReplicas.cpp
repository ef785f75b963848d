// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Decision/DeclaredReplicas.h"

#include <utility>

namespace yardhill::decision
{
bool is_declared_replica(const task_spec& spec, const cell_config& cell)
{
  const workload_config* workload = cell.find_workload(spec.workload);
  if (workload == nullptr || workload->kind != task_kind::service)
    return false;
  for (std::uint32_t replica = 0; replica < workload->replicas; ++replica)
  {
    if (replica_task_id(workload->id, replica) == spec.id)
      return true;
  }
  return false;
}

std::vector<task_spec> replicas_homed_at(const partition_id& partition, const cell_config& cell)
{
  std::vector<task_spec> homed;
  const zone_config* zone = cell.find_zone(partition.zone);
  if (zone == nullptr)
    return homed;
  for (const workload_config& workload : cell.workloads)
  {
    for (std::uint32_t replica = 0; replica < workload.replicas; ++replica)
    {
      const task_id id = replica_task_id(workload.id, replica);
      if (home_zone(id, workload, cell) != zone->id || home_partition(id, *zone) != partition)
        continue;
      task_spec spec = task_of(workload);
      spec.id = id;
      spec.keyed = true;
      spec.waits = false;
      homed.push_back(std::move(spec));
    }
  }
  return homed;
}
} // namespace yardhill::decision
