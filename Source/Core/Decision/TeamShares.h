// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Each team's use of a partition's capacity relative to its entitlement there.

#include <unordered_map>

#include "Common/CellConfig.h"
#include "Common/Resources.h"

namespace yardhill::decision
{
using namespace common;

// A quota is cell-wide, but each partition enforces a part of it, in proportion to the partition's
// part of the cell's capacity. So partitions need not communicate, and a network failure between
// them changes nothing. A team may borrow capacity that no entitled team waits for.
class team_shares
{
public:
  void configure(const cell_config& cell, const resources& partition_capacity);

  void started(const team_id& team, const resources& demand);
  void ended(const team_id& team, const resources& demand);

  // Returns use divided by entitlement, in the dimension where it is highest. A value above 1 means
  // that the team borrows capacity.
  double ratio(const team_id& team) const;
  bool exceeds_entitlement(const team_id& team) const { return ratio(team) > 1.0; }

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
