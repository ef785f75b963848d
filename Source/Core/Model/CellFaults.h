// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Injects faults, drawn from the seed, into an explored cell. Faults occur at any moment and may
// overlap.

#include <chrono>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "Model/CellExplorer.h"
#include "Model/ExploredCell.h"

namespace yardhill::model
{
// A worker's entry that is not renewed for this long is removed from the list of workers.
inline constexpr std::chrono::milliseconds k_entry_expiry{4500};
// Grace period of a planned stop; a process that has not finished by then is killed.
inline constexpr std::chrono::seconds k_stop_grace{6};

class cell_faults
{
public:
  cell_faults(explored_cell& cell, omission without);

  // Schedules two to six faults, 2 to 18 s from now.
  void draw();
  // Additionally schedules restarts of workers. From now on most new incarnations keep their
  // worker's id.
  void draw_restarts(std::uint64_t seed);
  // Additionally schedules changes of the cell's workspaces: revoked keys, changed limits.
  void draw_workspace_changes(std::uint64_t seed);
  // Descriptions of the faults injected so far.
  const std::vector<std::string>& descriptions() const { return m_descriptions; }
  // The time at which the last effect of the faults injected so far ends or will end.
  time_point disturbed_until() const { return m_disturbed_until; }

private:
  using network_cuts = std::vector<std::pair<std::string, std::string>>;

  void inject_random_fault();
  void inject_random_restart();
  void kill_owner();
  void kill_all();
  void stop_random_instance();
  void lose_owners_under_burst();
  void freeze_random_instance();
  void isolate_from_store();
  void make_store_unreachable();
  void lose_store_replies();
  void lose_worker_replies();
  void delay_worker_calls();
  void crash_worker();
  void drain_worker();
  void isolate_worker();
  void isolate_zone();
  void discard_history();
  void silence_parts();
  void step_clock();
  void throttle_random_instance();
  void slow_store();
  void restart_with_stale_entry();
  void reuse_address();
  void corrupt_entries();
  void submit_crashing();
  void shrink_capacities();
  void suspend_random_instance();
  void lose_owners_in_series();
  void reject_store_calls();
  void kill_in_series();
  void kill_random_instance();
  void restart_workers();
  void restart_while_isolated();
  void restart_during_delayed_calls();
  void restart_during_owner_loss();
  void restart_during_crashing_jobs();
  void inject_random_workspace_change();
  void revoke_key();
  void revoke_workspace();
  void revoke_while_isolated();
  void lower_limit();
  void raise_limit();

  void lose_next_owner(time_point end);
  void lose_owner(explored_instance& which);
  void stop(explored_instance& which);
  void kill_instance(explored_instance& which, duration down);
  void start_again(explored_instance& which, duration after);
  void wait_for_hand_over(explored_instance& which, time_point latest);
  void cut_links_for(const network_cuts& pairs, duration time);
  void replace_worker(fleet_worker& which);
  std::uint64_t draw_restart(std::uint64_t below);
  duration draw_restart_time(std::chrono::milliseconds least, std::chrono::milliseconds most);
  incarnation_plan plan_incarnation();
  // Restarts the worker `times` times in a row.
  void restart(fleet_worker& which, std::uint64_t times);
  void start_next_incarnation(fleet_worker& which, std::uint64_t times);
  void apply_workspace_change(const std::string& description);
  void restore_keys_later();
  std::string draw_workspace();
  duration draw_workspace_time(std::chrono::milliseconds least, std::chrono::milliseconds most);
  void change_capacity(fleet_worker& which, const common::resources& capacity);
  network_cuts links_of(const fleet_worker& which) const;
  void drop_omitted_rows();
  void spend_quota(explored_instance& which, const process_time* process, time_point end);
  void record_fault(const std::string& description);
  // Counts the cell as disturbed for at least `time` from now on.
  void extend_disturbance(duration time);
  void crash_permanently();
  void disrupt_owner();
  explored_instance* owner();

  explored_cell& m_cell;
  omission m_without;
  std::vector<std::string> m_descriptions;
  time_point m_disturbed_until{};
  std::mt19937_64 m_restart_random;
  std::mt19937_64 m_workspace_random;
};
} // namespace yardhill::model
