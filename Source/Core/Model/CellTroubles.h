// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// What befalls an explored cell: troubles drawn from its seed, at any moment, also over each other.

#include <string>
#include <utility>
#include <vector>

#include "Model/CellExplorer.h"
#include "Model/ExploredCell.h"

namespace yardhill::model
{
class cell_troubles
{
public:
  cell_troubles(explored_cell& cell, omission without);

  // Schedules two to six troubles for the first seconds of the play.
  void draw();
  // What has happened so far.
  const std::vector<std::string>& told() const { return m_told; }

private:
  // A worker whose entry is not renewed for this long is taken off the list.
  static constexpr std::chrono::milliseconds k_entry_lapse{4500};

  using cut_pairs = std::vector<std::pair<std::string, std::string>>;

  void befall();
  void kill_owner();
  void kill_all();
  void stop_one();
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
  void turn_away();
  void kill_in_series();
  void kill_one();

  void kill_instance(explored_instance& which, duration down);
  void start_again(explored_instance& which, duration after);
  void wait_for_hand_over(explored_instance& which, time_point latest);
  void cut_for(const cut_pairs& pairs, duration time);
  void replace_worker(fleet_worker& which);
  cut_pairs cut_of(const fleet_worker& which) const;
  void forget_mechanism();
  void spend_quota(explored_instance& which, const process_time* process, time_point end);
  void note(const std::string& what);

  explored_cell& m_cell;
  omission m_without;
  std::vector<std::string> m_told;
};
} // namespace yardhill::model
