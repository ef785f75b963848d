// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Checks that nothing of a cancelled job keeps running. Once the cell has been undisturbed for a
// while, no run of such a job that had begun by the start of that while may be left, whoever
// started it, and also if its worker executed the start request late.

#include "Model/ConnectivityMonitor.h"
#include "Model/ExploredCell.h"

namespace yardhill::model
{
class cancel_judge
{
public:
  // Checks from now until `end`. The cell must outlive the judge; violations are added to the
  // cell's run_judge.
  cancel_judge(explored_cell& cell, time_point end);

private:
  void check_periodically();
  bool cell_undisturbed() const;

  explored_cell& m_cell;
  time_point m_end;
  connectivity_monitor m_connectivity;
  time_point m_undisturbed_since;
};
} // namespace yardhill::model
