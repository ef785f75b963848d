// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Model/ConnectivityMonitor.h"

namespace yardhill::model
{
namespace
{
constexpr std::chrono::milliseconds k_period{25};
// An instance that has been undisturbed for this long is in touch again.
constexpr std::chrono::seconds k_contact{3};
} // namespace

connectivity_monitor::connectivity_monitor(explored_cell& cell) : m_cell(cell)
{
  look();
}

void connectivity_monitor::look()
{
  for (const explored_instance& each : m_cell.instances())
  {
    contact& seen = m_contacts[each.name];
    if (seen.process != each.time.get() || !undisturbed(each))
      seen = {each.time.get(), m_cell.time().now()};
  }
  m_cell.time().schedule(k_period, [this] { look(); });
}

bool connectivity_monitor::undisturbed(const explored_instance& which) const
{
  return which.up() && !which.core->stopping() && !which.time->frozen() &&
         !m_cell.store().disturbed() && m_cell.network().troubles.lost_store_reply_share == 0.0 &&
         !m_cell.network().troubles.turned_away.contains(which.name) &&
         !m_cell.network().cut(which.name, "store");
}

bool connectivity_monitor::in_touch(const explored_instance& which) const
{
  const auto found = m_contacts.find(which.name);
  return found != m_contacts.end() && which.up() && found->second.process == which.time.get() &&
         undisturbed(which) && m_cell.time().now() - found->second.since >= k_contact;
}
} // namespace yardhill::model
