// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Tracks which instances of an explored cell are connected: neither they nor the store have been
// disturbed for a while, so that their answers have to be right.

#include <map>
#include <string>

#include "Model/ExploredCell.h"

namespace yardhill::model
{
class connectivity_monitor
{
public:
  // Checks the instances periodically from now on. The cell must outlive the monitor.
  explicit connectivity_monitor(explored_cell& cell);

  bool connected(const explored_instance& which) const;

private:
  struct connectivity
  {
    const process_time* process = nullptr; // differs after a restart of the instance
    time_point since{};
  };

  void check_periodically();
  bool undisturbed(const explored_instance& which) const;

  explored_cell& m_cell;
  std::map<std::string, connectivity> m_connectivity; // by instance
};
} // namespace yardhill::model
