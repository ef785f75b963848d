// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The workers of a partition, the capacity granted on them, and the choice of workers for a task.

#include <optional>
#include <unordered_map>
#include <vector>

#include "Common/CellConfig.h"
#include "Common/Options.h"
#include "Decision/PlacementStrategy.h"
#include "Decision/TaskRecord.h"
#include "Decision/WorkerLedger.h"

namespace yardhill::decision
{
// A grant of capacity on a worker to one member of a task.
struct placed_member
{
  task_record* task = nullptr;
  std::size_t member = 0;
  resources demand;
};

// Returns how many members with this demand fit into the free capacity; at most a worker's slots.
std::uint64_t members_fitting_in(const resources& demand, const resources& free_capacity);

class worker_pool
{
public:
  worker_pool(const scheduling_options& options, const placement_policy& policy)
      : m_options(options), m_policy(policy)
  {
  }

  // Sets the workers that the configuration assigns to the partition. A worker that is no longer
  // assigned stays in the pool as leaving, since attempts may still run there.
  void configure(const std::vector<worker_config>& workers);

  std::size_t size() const { return m_ledgers.size(); }
  worker_ledger& at(std::size_t position) { return m_ledgers[position]; }
  const worker_ledger& at(std::size_t position) const { return m_ledgers[position]; }
  std::optional<std::size_t> position_of(const worker_id& id) const;
  const std::vector<placed_member>& placed_on(std::size_t position) const
  {
    return m_placed[position];
  }
  const resources& capacity() const { return m_capacity; }
  // Sums of the free capacity and of the capacity of all workers that currently accept tasks.
  resources total_free_capacity() const;
  resources live_capacity() const;
  // Returns nullopt if some worker could hold the demand when empty. Otherwise returns a dimension
  // in which the demand exceeds the last worker's capacity, or `slots` if there is no worker.
  std::optional<resource_dimension> never_fits(const resources& demand) const;
  // Returns how many members with this demand all workers together could hold when empty.
  std::uint64_t max_members(const resources& demand) const;

  void refresh_circuits(time_point now);

  // Returns a worker's position for each member, or nullopt if not all members fit. Grants nothing.
  std::optional<std::vector<std::size_t>> plan(const task_record& task);
  void grant(std::size_t position, task_record& task, std::size_t member);
  void release(std::size_t position, const task_record& task, std::size_t member);
  void clear_grants();

private:
  std::optional<std::size_t> choose(const task_record& task, const placement_strategy& strategy);
  placement_candidate candidate_at(std::size_t position, const task_record& task,
                                   const placement_strategy& strategy) const;
  std::uint32_t colocated_on_worker(std::size_t position, const workload_id& workload) const;
  std::uint32_t colocated_on_rack(std::size_t position, const workload_id& workload) const;

  const scheduling_options& m_options;
  const placement_policy& m_policy;
  std::vector<worker_ledger> m_ledgers;
  std::vector<std::vector<placed_member>> m_placed;
  std::unordered_map<worker_id, std::size_t> m_positions;
  resources m_capacity;
};
} // namespace yardhill::decision
