// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Series of faults: owners are lost one after the other, together with workers or during a burst of
// jobs; instances are killed while the store is hard to reach.

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

// Several times the number of jobs that the workers can run at once.
constexpr std::uint64_t k_burst_jobs = 120;
constexpr milliseconds k_burst_duration{3000};
// One in this many owners is stopped as planned and hands over its state; the others are killed.
constexpr std::uint64_t k_planned_stop_odds = 10;
// One in this many series begins while the store is slow.
constexpr std::uint64_t k_slow_store_odds = 8;
} // namespace

void cell_faults::lose_owners_under_burst()
{
  record_fault("owners are lost under a burst");
  if (m_cell.draw(k_slow_store_odds) == 0)
    slow_store();
  m_cell.callers().burst(k_burst_jobs, k_burst_duration);
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
  // Less than the renewal period, so that an owner can be lost before its first renewal, at which a
  // new owner reports the number of waiting jobs.
  m_cell.time().schedule(m_cell.draw_time(milliseconds(25), milliseconds(250)),
                         [this, end] { lose_next_owner(end); });
}

void cell_faults::lose_owner(explored_instance& which)
{
  if (m_cell.draw(k_planned_stop_odds) == 0)
    stop(which);
  else
    kill_instance(which, m_cell.draw_time(milliseconds(200), milliseconds(900)));
}

// The store rejects the calls of some or all instances.
void cell_faults::reject_store_calls()
{
  std::set<std::string> names;
  const bool all = m_cell.draw(2) == 0;
  for (const explored_instance& each : m_cell.instances())
  {
    if (all || m_cell.draw(2) == 0)
      names.insert(each.name);
  }
  record_fault("the store turns away " + std::to_string(names.size()) + " instances");
  extend_disturbance(seconds(6));
  m_cell.network().troubles.turned_away = std::move(names);
  m_cell.network().troubles.turned_away_status = m_cell.draw(2) == 0 ? 503 : 429;
  m_cell.time().schedule(m_cell.draw_time(milliseconds(1000), milliseconds(6000)),
                         [this] { m_cell.network().troubles.turned_away.clear(); });
}

// Kills instances one after the other, with calls in flight, while the store is hard to reach.
void cell_faults::kill_in_series()
{
  if (m_cell.draw(2) == 0)
    slow_store();
  else
    reject_store_calls();
  const std::uint64_t kills = 3 + m_cell.draw(4);
  for (std::uint64_t i = 0; i < kills; ++i)
    m_cell.time().schedule(m_cell.draw_time(milliseconds(100), milliseconds(5000)),
                           [this] { kill_random_instance(); });
}

void cell_faults::kill_random_instance()
{
  explored_instance* const which = m_cell.any_up();
  if (which == nullptr)
    return;
  record_fault("kill " + which->name);
  kill_instance(*which, m_cell.draw_time(milliseconds(50), milliseconds(700)));
}

// Kills the owner, stops it as planned, freezes it, or isolates it from the store.
void cell_faults::disrupt_owner()
{
  explored_instance* const which = owner();
  if (which == nullptr)
    return;
  const duration time = m_cell.draw_time(milliseconds(300), milliseconds(3000));
  switch (m_cell.draw(5))
  {
  case 0:
    record_fault("stop owner " + which->name);
    which->core->begin_stop();
    wait_for_hand_over(*which, m_cell.time().now() + k_stop_grace);
    return;
  case 1:
    record_fault("freeze owner " + which->name);
    extend_disturbance(time);
    which->time->freeze_until(m_cell.time().now() + time);
    return;
  case 2:
    record_fault("cut owner from the store: " + which->name);
    cut_links_for({{which->name, "store"}}, time);
    return;
  default:
    record_fault("kill owner " + which->name);
    kill_instance(*which, time);
  }
}

// Crashes workers permanently, and from that moment on disrupts owners one after the other.
void cell_faults::lose_owners_in_series()
{
  const std::uint64_t workers = 1 + m_cell.draw(3);
  for (std::uint64_t i = 0; i < workers; ++i)
    crash_permanently();
  const std::uint64_t owners = 1 + m_cell.draw(4);
  duration after = m_cell.draw_time(milliseconds(0), milliseconds(6000));
  for (std::uint64_t i = 0; i < owners; ++i)
  {
    m_cell.time().schedule(after, [this] { disrupt_owner(); });
    after += m_cell.draw_time(milliseconds(1000), milliseconds(6000));
  }
}
} // namespace yardhill::model
