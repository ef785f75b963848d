// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// How much of a partition each team uses against what it is entitled to there.

#include <unordered_map>

#include "Common/CellConfig.h"
#include "Common/Resources.h"

namespace yardhill::decision
{
using namespace common;

// A quota is cell-wide, but each partition enforces its own part of it, by its part of the cell's
// capacity: no talk between partitions is needed, so a cut changes nothing. A team may borrow
// what nobody entitled waits for.
class team_shares
{
public:
  void configure(const cell_config& cell, const resources& partition_capacity);

  void started(const team_id& team, const resources& demand);
  void ended(const team_id& team, const resources& demand);

  // Use over entitlement, in the dimension where it is highest; above 1 means borrowing.
  double ratio(const team_id& team) const;
  bool borrows(const team_id& team) const { return ratio(team) > 1.0; }

private:
  struct account
  {
    resources entitled;
    resources used;
    double ratio = 0;
  };

  void update(account& changed) const
  {
    changed.ratio = dominant_share(changed.used, changed.entitled);
  }

  resources m_capacity;
  std::unordered_map<team_id, account> m_accounts;
};
} // namespace yardhill::decision
