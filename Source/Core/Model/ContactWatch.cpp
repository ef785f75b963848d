// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Model/ContactWatch.h"

namespace yardhill::model
{
namespace
{
constexpr std::chrono::milliseconds k_period{25};
// An instance that has been undisturbed for this long is in touch again.
constexpr std::chrono::seconds k_contact{3};
} // namespace

contact_watch::contact_watch(explored_cell& cell) : m_cell(cell)
{
  look();
}

void contact_watch::look()
{
  for (const explored_instance& each : m_cell.instances())
  {
    contact& seen = m_contacts[each.name];
    if (seen.process != each.time.get() || !undisturbed(each))
      seen = {each.time.get(), m_cell.time().now()};
  }
  m_cell.time().schedule(k_period, [this] { look(); });
}

bool contact_watch::undisturbed(const explored_instance& which) const
{
  return which.up() && !which.core->stopping() && !which.time->frozen() &&
         !m_cell.store().disturbed() && m_cell.network().troubles.answers_lost == 0.0 &&
         !m_cell.network().troubles.turned_away.contains(which.name) &&
         !m_cell.network().cut(which.name, "store");
}

bool contact_watch::in_touch(const explored_instance& which) const
{
  const auto found = m_contacts.find(which.name);
  return found != m_contacts.end() && which.up() && found->second.process == which.time.get() &&
         undisturbed(which) && m_cell.time().now() - found->second.since >= k_contact;
}
} // namespace yardhill::model
