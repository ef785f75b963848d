// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Troubles in series: owners that are lost one after the other, with their workers or under a
// burst; instances that are killed while the store is hard to reach.

#include "Model/CellFaults.h"

#include <set>
#include <string>
#include <utility>

namespace yardhill::model
{
namespace
{
using std::chrono::milliseconds;
using std::chrono::seconds;

// Several times what the workers can take at once.
constexpr std::uint64_t k_burst_jobs = 120;
constexpr milliseconds k_burst_time{3000};
// One owner in so many is stopped by plan, and tells what it knows; the others are killed.
constexpr std::uint64_t k_planned_share = 10;
// One series in so many meets a store that is slow at its beginning.
constexpr std::uint64_t k_slow_share = 8;
} // namespace

void cell_faults::lose_owners_under_burst()
{
  note("owners are lost under a burst");
  if (m_cell.draw(k_slow_share) == 0)
    slow_store();
  m_cell.callers().burst(k_burst_jobs, k_burst_time);
  lose_next_owner(m_cell.time().now() + m_cell.draw_time(seconds(6), seconds(11)));
}

void cell_faults::lose_next_owner(time_point end)
{
  if (m_cell.time().now() >= end)
    return;
  for (explored_instance& each : m_cell.instances())
  {
    if (each.up() && each.core->owns_any() && !each.core->stopping())
      lose_owner(each);
  }
  // Shorter than a renewal's period, which is when a new owner tells what waits.
  m_cell.time().schedule(m_cell.draw_time(milliseconds(25), milliseconds(250)),
                         [this, end] { lose_next_owner(end); });
}

void cell_faults::lose_owner(explored_instance& which)
{
  if (m_cell.draw(k_planned_share) == 0)
    stop(which);
  else
    kill_instance(which, m_cell.draw_time(milliseconds(200), milliseconds(900)));
}

// The store turns some instances away, or all of them.
void cell_faults::turn_away()
{
  std::set<std::string> names;
  const bool all = m_cell.draw(2) == 0;
  for (const explored_instance& each : m_cell.instances())
  {
    if (all || m_cell.draw(2) == 0)
      names.insert(each.name);
  }
  note("the store turns away " + std::to_string(names.size()) + " instances");
  lasts(seconds(6));
  m_cell.network().troubles.turned_away = std::move(names);
  m_cell.network().troubles.turned_away_status = m_cell.draw(2) == 0 ? 503 : 429;
  m_cell.time().schedule(m_cell.draw_time(milliseconds(1000), milliseconds(6000)),
                         [this] { m_cell.network().troubles.turned_away.clear(); });
}

// Instances end one after the other, with calls under way, while the store is hard to reach.
void cell_faults::kill_in_series()
{
  if (m_cell.draw(2) == 0)
    slow_store();
  else
    turn_away();
  const std::uint64_t kills = 3 + m_cell.draw(4);
  for (std::uint64_t i = 0; i < kills; ++i)
    m_cell.time().schedule(m_cell.draw_time(milliseconds(100), milliseconds(5000)),
                           [this] { kill_one(); });
}

void cell_faults::kill_one()
{
  explored_instance* const which = m_cell.any_up();
  if (which == nullptr)
    return;
  note("kill " + which->name);
  kill_instance(*which, m_cell.draw_time(milliseconds(50), milliseconds(700)));
}

// The owner is killed, stopped as planned, frozen, or cut off from the store.
void cell_faults::trouble_owner()
{
  explored_instance* const which = owner();
  if (which == nullptr)
    return;
  const duration time = m_cell.draw_time(milliseconds(300), milliseconds(3000));
  switch (m_cell.draw(5))
  {
  case 0:
    note("stop owner " + which->name);
    which->core->begin_stop();
    wait_for_hand_over(*which, m_cell.time().now() + k_stop_grace);
    return;
  case 1:
    note("freeze owner " + which->name);
    lasts(time);
    which->time->freeze_until(m_cell.time().now() + time);
    return;
  case 2:
    note("cut owner from the store: " + which->name);
    cut_for({{which->name, "store"}}, time);
    return;
  default:
    note("kill owner " + which->name);
    kill_instance(*which, time);
  }
}

// Workers are gone for good, and owners are lost one after the other from that moment on.
void cell_faults::lose_owners_in_series()
{
  const std::uint64_t workers = 1 + m_cell.draw(3);
  for (std::uint64_t i = 0; i < workers; ++i)
    crash_for_good();
  const std::uint64_t owners = 1 + m_cell.draw(4);
  duration after = m_cell.draw_time(milliseconds(0), milliseconds(6000));
  for (std::uint64_t i = 0; i < owners; ++i)
  {
    m_cell.time().schedule(after, [this] { trouble_owner(); });
    after += m_cell.draw_time(milliseconds(1000), milliseconds(6000));
  }
}
} // namespace yardhill::model
