// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The workers of a partition, what was granted on them, and which one a task should get.

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
// A grant: one member of a task on a worker.
struct placed_member
{
  task_record* task = nullptr;
  std::size_t member = 0;
  resources demand;
};

// How many such members the room holds; at most a worker's slots.
std::uint64_t members_in(const resources& demand, const resources& room);

class worker_pool
{
public:
  worker_pool(const scheduling_options& options, const placement_policy& policy)
      : m_options(options), m_policy(policy)
  {
  }

  // Takes over the workers that the configuration gives the partition. A worker that it no longer
  // gives stays known, as leaving, until nothing runs there.
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
  // Room, and capacity, on all workers that take work now.
  resources total_room() const;
  resources live_capacity() const;
  // A worker that could hold the demand were it empty; none with the dimension that fails.
  std::optional<resource_dimension> never_fits(const resources& demand) const;
  // How many such members all workers together could hold, were they empty.
  std::uint64_t most_members(const resources& demand) const;

  void refresh_circuits(time_point now);

  // A worker for each member, all or none. Nothing is granted yet.
  std::optional<std::vector<std::size_t>> plan(const task_record& task);
  void grant(std::size_t position, task_record& task, std::size_t member);
  void release(std::size_t position, const task_record& task, std::size_t member);
  void clear_grants();

private:
  std::optional<std::size_t> choose(const task_record& task, const placement_strategy& strategy);
  placement_candidate candidate_at(std::size_t position, const task_record& task,
                                   const placement_strategy& strategy) const;
  std::uint32_t same_on_worker(std::size_t position, const workload_id& workload) const;
  std::uint32_t same_on_rack(std::size_t position, const workload_id& workload) const;

  const scheduling_options& m_options;
  const placement_policy& m_policy;
  std::vector<worker_ledger> m_ledgers;
  std::vector<std::vector<placed_member>> m_placed;
  std::unordered_map<worker_id, std::size_t> m_positions;
  resources m_capacity;
};
} // namespace yardhill::decision
