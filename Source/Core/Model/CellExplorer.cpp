// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Model/CellExplorer.h"

#include <utility>

#include "Model/CellTroubles.h"
#include "Model/CountJudge.h"
#include "Model/ExploredCell.h"

namespace yardhill::model
{
namespace
{
using std::chrono::seconds;

// Jobs come until troubles are over; the rest is for what is left to end.
constexpr seconds k_first_job{1};
constexpr seconds k_troubled{20};
constexpr seconds k_length{60};
// For the answers to the last questions.
constexpr seconds k_answers{3};
} // namespace

exploration explore_cell(std::uint64_t seed, omission without)
{
  explored_cell cell(seed);
  cell_troubles troubles(cell, without);
  cell.time().schedule(k_first_job,
                       [&cell] { cell.callers().hand_in_until(cell.begin() + k_troubled); });
  const count_judge counts(cell, cell.begin() + k_length);
  troubles.draw();
  cell.time().run_until(cell.begin() + k_length);
  cell.callers().ask_all();
  cell.time().run_until(cell.begin() + k_length + k_answers);
  cell.judge().check_all_ended(cell.callers().states());
  std::vector<std::string> violations = cell.judge().violations();
  violations.insert(violations.end(), counts.violations().begin(), counts.violations().end());
  return {std::move(violations), troubles.told(),  cell.judge().accepted_jobs(),
          cell.judge().starts(), counts.counted(), counts.unknown()};
}
} // namespace yardhill::model
