// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The declared configuration of the cell, which operators apply as one document.

#include <cstdint>
#include <string>
#include <vector>

#include "Common/Ids.h"
#include "Common/Resources.h"
#include "Common/Task.h"
#include "Common/Time.h"

namespace yardhill::common
{
struct worker_config
{
  worker_id id;
  rack_id rack;
  std::uint32_t partition = 0; // index within its zone
  std::string address;         // base URL of the worker's HTTP interface
  resources capacity;
};

struct zone_config
{
  zone_id id;
  std::uint32_t partitions = 1;
  std::vector<worker_config> workers;
};

struct team_config
{
  team_id id;
  double weight = 1.0; // relative share of the cell while several teams have waiting tasks
  resources quota;     // cell-wide limit; all zero: the team has none
};

struct workload_config
{
  workload_id id;
  team_id team;
  task_kind kind = task_kind::batch;
  std::vector<zone_id> zones; // zones that may be the home of its tasks; empty: every zone
  resources demand;
  std::uint32_t members = 1;
  std::uint32_t replicas = 0; // services only
  std::int32_t priority = 0;
  duration expected_run{0};
  duration deadline{0};
  bool repeatable = true;
  std::uint32_t max_attempts = 3;
  std::string payload; // services only: passed to each replica at its start
};

struct cell_config
{
  std::uint64_t version = 0;
  // Fraction of each partition's capacity that only interactive tasks may use.
  double interactive_headroom = 0.02;
  std::vector<zone_config> zones;
  std::vector<team_config> teams;
  std::vector<workload_config> workloads;
  std::vector<worker_id> drained; // workers that are sent no new tasks

  const zone_config* find_zone(const zone_id& id) const;
  const team_config* find_team(const team_id& id) const;
  const workload_config* find_workload(const workload_id& id) const;
};

// Upper limits of a worker's concurrent tasks and of its connections, whatever it declares.
inline constexpr std::int64_t k_worker_slots = 8;
inline constexpr std::int64_t k_worker_connections = 64;

// A task id is `workload/key`. The key is the caller's or, if the caller gave none, a generated
// one. A generated key starts with the task's home zone and this character, which a caller's key
// may not contain.
inline constexpr char k_generated_key_mark = '~';
task_id make_task_id(const workload_id& workload, const std::string& key);
workload_id workload_of(const task_id& task);

// The task's home zone: one of the workload's zones, chosen by rendezvous hashing. A generated id
// names its home zone itself.
zone_id home_zone(const task_id& task, const workload_config& workload, const cell_config& cell);
// The task's home partition within its home zone `zone`.
partition_id home_partition(const task_id& task, const zone_config& zone);
// The task id of a service's replica, which does not change when the replica is replaced.
task_id replica_task_id(const workload_id& workload, std::uint32_t replica);
// A task with the workload's settings. The calling code sets `id`, `keyed` and `waits`.
task_spec task_of(const workload_config& workload);
} // namespace yardhill::common
