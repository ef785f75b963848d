// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Holds an explored cell to it that nothing of a cancelled job goes on: once nothing has befallen
// the cell for a while, no run may be left that had begun by then, whoever started it, and whether
// or not its worker carried the order out late.

#include "Model/ConnectivityMonitor.h"
#include "Model/ExploredCell.h"

namespace yardhill::model
{
class cancel_judge
{
public:
  // From now on until `end`; the cell outlives it. What it finds, the cell's judge notes.
  cancel_judge(explored_cell& cell, time_point end);

private:
  void look();
  bool calm() const;

  explored_cell& m_cell;
  time_point m_end;
  connectivity_monitor m_contacts;
  time_point m_calm_since;
};
} // namespace yardhill::model
