// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The declared state of the cell: what operators apply as a whole.

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
  std::string address;         // base URL of the worker's interface
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
  double weight = 1.0; // its part of the cell when several teams wait
  resources quota;     // cell-wide; all zero means no limit of its own
};

struct workload_config
{
  workload_id id;
  team_id team;
  task_kind kind = task_kind::batch;
  std::vector<zone_id> zones; // where its tasks may have their home; empty: every zone
  resources demand;
  std::uint32_t members = 1;
  std::uint32_t replicas = 0; // services only
  std::int32_t priority = 0;
  duration expected_run{0};
  duration deadline{0};
  bool repeatable = true;
  std::uint32_t max_attempts = 3;
  std::string payload; // services only: what each replica is started with
};

struct cell_config
{
  std::uint64_t version = 0;
  double interactive_headroom = 0.02; // part of each partition that only interactive work may use
  std::vector<zone_config> zones;
  std::vector<team_config> teams;
  std::vector<workload_config> workloads;
  std::vector<worker_id> drained; // workers that get nothing new

  const zone_config* find_zone(const zone_id& id) const;
  const team_config* find_team(const team_id& id) const;
  const workload_config* find_workload(const workload_id& id) const;
};

// The most a worker may ever run at once and be connected to, whatever it declares.
inline constexpr std::int64_t k_worker_slots = 8;
inline constexpr std::int64_t k_worker_connections = 64;

// A task's id is its workload's name, a slash, and the caller's key or a minted one. A minted key
// starts with its home zone and this mark, which callers' keys may not hold.
inline constexpr char k_generated_key_mark = '~';
task_id make_task_id(const workload_id& workload, const std::string& key);
workload_id workload_of(const task_id& task);

// The home zone of an id among a workload's zones, by rendezvous hashing;
// a minted id names its own.
zone_id home_zone(const task_id& task, const workload_config& workload, const cell_config& cell);
// The home partition of an id in its home zone.
partition_id home_partition(const task_id& task, const zone_config& zone);
// The stable id of a service's replica.
task_id replica_task_id(const workload_id& workload, std::uint32_t replica);
// A task of the workload; `id`, `keyed` and `waits` are the caller's to set.
task_spec task_of(const workload_config& workload);
} // namespace yardhill::common
