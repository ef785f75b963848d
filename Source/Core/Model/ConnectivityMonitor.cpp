// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Model/ConnectivityMonitor.h"

namespace yardhill::model
{
namespace
{
constexpr std::chrono::milliseconds k_period{25};
// An instance that has been undisturbed for this long counts as connected again.
constexpr std::chrono::seconds k_connected_after{3};
} // namespace

connectivity_monitor::connectivity_monitor(explored_cell& cell) : m_cell(cell)
{
  check_periodically();
}

void connectivity_monitor::check_periodically()
{
  for (const explored_instance& each : m_cell.instances())
  {
    connectivity& recorded = m_connectivity[each.name];
    if (recorded.process != each.time.get() || !undisturbed(each))
      recorded = {each.time.get(), m_cell.time().now()};
  }
  m_cell.time().schedule(k_period, [this] { check_periodically(); });
}

bool connectivity_monitor::undisturbed(const explored_instance& which) const
{
  return which.up() && !which.core->stopping() && !which.time->frozen() &&
         !m_cell.store().disturbed() && m_cell.network().troubles.lost_store_reply_share == 0.0 &&
         !m_cell.network().troubles.turned_away.contains(which.name) &&
         !m_cell.network().cut(which.name, "store");
}

bool connectivity_monitor::connected(const explored_instance& which) const
{
  const auto found = m_connectivity.find(which.name);
  return found != m_connectivity.end() && which.up() && found->second.process == which.time.get() &&
         undisturbed(which) && m_cell.time().now() - found->second.since >= k_connected_after;
}
} // namespace yardhill::model
