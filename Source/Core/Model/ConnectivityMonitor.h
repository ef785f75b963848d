// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Which instances of an explored cell are in touch: nothing has befallen them or the store for a
// while, so what they say has to be right.

#include <map>
#include <string>

#include "Model/ExploredCell.h"

namespace yardhill::model
{
class connectivity_monitor
{
public:
  // Looks again and again, from now on; the cell outlives it.
  explicit connectivity_monitor(explored_cell& cell);

  bool in_touch(const explored_instance& which) const;

private:
  struct contact
  {
    const process_time* process = nullptr; // a later one has been started anew
    time_point since{};
  };

  void look();
  bool undisturbed(const explored_instance& which) const;

  explored_cell& m_cell;
  std::map<std::string, contact> m_contacts; // by instance
};
} // namespace yardhill::model
