// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// The troubles of a cell whose owners are lost in series: each before it has told anybody anything.

#include "Model/CellTroubles.h"

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

void cell_troubles::lose_owners_under_burst()
{
  note("owners are lost under a burst");
  if (m_cell.draw(k_slow_share) == 0)
    slow_store();
  m_cell.callers().burst(k_burst_jobs, k_burst_time);
  lose_next_owner(m_cell.time().now() + m_cell.draw_time(seconds(6), seconds(11)));
}

void cell_troubles::lose_next_owner(time_point end)
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

void cell_troubles::lose_owner(explored_instance& which)
{
  if (m_cell.draw(k_planned_share) == 0)
    stop(which);
  else
    kill_instance(which, m_cell.draw_time(milliseconds(200), milliseconds(900)));
}
} // namespace yardhill::model
