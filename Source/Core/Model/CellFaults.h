// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// What befalls an explored cell: troubles drawn from its seed, at any moment, also over each other.

#include <chrono>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "Model/CellExplorer.h"
#include "Model/ExploredCell.h"

namespace yardhill::model
{
// A worker whose entry is not renewed for this long is taken off the list.
inline constexpr std::chrono::milliseconds k_entry_lapse{4500};
// A planned stop's grace; a process that is not through by then is killed.
inline constexpr std::chrono::seconds k_stop_grace{6};

class cell_faults
{
public:
  cell_faults(explored_cell& cell, omission without);

  // Schedules two to six troubles for the first seconds of the play.
  void draw();
  // Schedules restarts of workers besides: from now on most new lives keep their worker's id.
  void draw_restarts(std::uint64_t seed);
  // What has happened so far.
  const std::vector<std::string>& told() const { return m_told; }
  // When the latest of them ended, or will.
  time_point disturbed_until() const { return m_disturbed_until; }

private:
  using cut_pairs = std::vector<std::pair<std::string, std::string>>;

  void befall();
  void befall_restart();
  void kill_owner();
  void kill_all();
  void stop_one();
  void lose_owners_under_burst();
  void freeze_one();
  void cut_from_store();
  void store_away();
  void lose_answers();
  void lose_orders();
  void late_orders();
  void crash_worker();
  void drain_worker();
  void cut_worker();
  void cut_zone();
  void forget_history();
  void silence_parts();
  void step_clock();
  void slow_one();
  void slow_store();
  void reborn_worker();
  void reuse_address();
  void break_entries();
  void submit_crashing();
  void shrink_rooms();
  void suspend_one();
  void lose_owners_in_series();
  void turn_away();
  void kill_in_series();
  void kill_one();
  void restart_workers();
  void restart_behind_cut();
  void restart_beside_late_orders();
  void restart_beside_lost_owner();
  void restart_beside_crashing();

  void lose_next_owner(time_point end);
  void lose_owner(explored_instance& which);
  void stop(explored_instance& which);
  void kill_instance(explored_instance& which, duration down);
  void start_again(explored_instance& which, duration after);
  void wait_for_hand_over(explored_instance& which, time_point latest);
  void cut_for(const cut_pairs& pairs, duration time);
  void replace_worker(fleet_worker& which);
  std::uint64_t draw_restart(std::uint64_t below);
  duration draw_restart_time(std::chrono::milliseconds least, std::chrono::milliseconds most);
  incarnation_plan plan_life();
  // So many times in a row.
  void restart(fleet_worker& which, std::uint64_t times);
  void begin_again(fleet_worker& which, std::uint64_t times);
  void set_room(fleet_worker& which, const common::resources& room);
  cut_pairs cut_of(const fleet_worker& which) const;
  void forget_mechanism();
  void spend_quota(explored_instance& which, const process_time* process, time_point end);
  void note(const std::string& what);
  // What is told of lasts for so long from now on.
  void lasts(duration time);
  void crash_for_good();
  void trouble_owner();
  explored_instance* owner();

  explored_cell& m_cell;
  omission m_without;
  std::vector<std::string> m_told;
  time_point m_disturbed_until{};
  std::mt19937_64 m_restart_random;
};
} // namespace yardhill::model
