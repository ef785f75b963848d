// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Model/CellFaults.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>

#include "Common/EventLog.h"
#include "Node/JobStore.h"
#include "Node/OwnerRow.h"

namespace yardhill::model
{
namespace
{
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds k_link_break{1500};
// The instances' one partition, whose rows are one part of the store.
constexpr const char* k_partition = "cell";
// A quota of processor: nothing for this long of each period.
constexpr milliseconds k_quota_period{100};
constexpr milliseconds k_without_processor{85};
// One in so many parts is silent when the store is down in part.
constexpr std::uint64_t k_silent_share = 3;
// Until an instance that is stopped looks again whether it has handed over.
constexpr milliseconds k_hand_over_period{50};
// Entries are written anew after a cut.
constexpr milliseconds k_entries_back{1500};
} // namespace

cell_faults::cell_faults(explored_cell& cell, omission without) : m_cell(cell), m_without(without)
{
}

void cell_faults::note(const std::string& what)
{
  const auto at = std::chrono::duration_cast<milliseconds>(m_cell.time().now() - m_cell.begin());
  m_told.push_back(std::to_string(at.count()) + " ms: " + what);
  common::log_process("trouble", {{"what", what}});
  lasts({});
}

void cell_faults::lasts(duration time)
{
  m_disturbed_until = std::max(m_disturbed_until, m_cell.time().now() + time);
}

void cell_faults::draw()
{
  const std::uint64_t count = 2 + m_cell.draw(5);
  for (std::uint64_t i = 0; i < count; ++i)
    m_cell.time().schedule(m_cell.draw_time(milliseconds(2000), milliseconds(18000)),
                           [this] { befall(); });
}

void cell_faults::befall()
{
  using kind = void (cell_faults::*)();
  static constexpr std::array<kind, 28> k_kinds{&cell_faults::kill_owner,
                                                &cell_faults::kill_all,
                                                &cell_faults::stop_one,
                                                &cell_faults::freeze_one,
                                                &cell_faults::cut_from_store,
                                                &cell_faults::store_away,
                                                &cell_faults::lose_answers,
                                                &cell_faults::lose_orders,
                                                &cell_faults::late_orders,
                                                &cell_faults::crash_worker,
                                                &cell_faults::drain_worker,
                                                &cell_faults::cut_worker,
                                                &cell_faults::cut_zone,
                                                &cell_faults::forget_history,
                                                &cell_faults::silence_parts,
                                                &cell_faults::step_clock,
                                                &cell_faults::slow_one,
                                                &cell_faults::slow_store,
                                                &cell_faults::reborn_worker,
                                                &cell_faults::reuse_address,
                                                &cell_faults::lose_owners_in_series,
                                                &cell_faults::lose_owners_under_burst,
                                                &cell_faults::turn_away,
                                                &cell_faults::kill_in_series,
                                                &cell_faults::break_entries,
                                                &cell_faults::submit_crashing,
                                                &cell_faults::shrink_rooms,
                                                &cell_faults::suspend_one};
  (this->*k_kinds[m_cell.draw(k_kinds.size())])();
}

void cell_faults::kill_instance(explored_instance& which, duration down)
{
  if (!which.up())
    return;
  m_cell.end_instance(which);
  lasts(down);
  start_again(which, down);
}

void cell_faults::start_again(explored_instance& which, duration after)
{
  m_cell.time().schedule(after,
                         [this, &which]
                         {
                           if (!which.up())
                             m_cell.start_instance(which);
                         });
}

void cell_faults::stop_one()
{
  explored_instance* const which = m_cell.any_up();
  if (which == nullptr)
    return;
  note("stop " + which->name);
  stop(*which);
}

// A planned stop: the process ends once it has handed over, or when its grace is over.
void cell_faults::stop(explored_instance& which)
{
  lasts({});
  which.core->begin_stop();
  wait_for_hand_over(which, m_cell.time().now() + k_stop_grace);
}

void cell_faults::wait_for_hand_over(explored_instance& which, time_point latest)
{
  if (!which.up())
    return; // killed meanwhile
  if (which.core->handed_over() || m_cell.time().now() >= latest)
  {
    kill_instance(which, m_cell.draw_time(milliseconds(100), milliseconds(1000)));
    return;
  }
  m_cell.time().schedule(k_hand_over_period,
                         [this, &which, latest] { wait_for_hand_over(which, latest); });
}

void cell_faults::kill_owner()
{
  for (explored_instance& each : m_cell.instances())
  {
    if (!each.up() || !each.core->owns_any())
      continue;
    note("kill owner " + each.name);
    forget_mechanism();
    kill_instance(each, m_cell.draw_time(milliseconds(300), milliseconds(5000)));
    return;
  }
}

void cell_faults::kill_all()
{
  note("kill all instances");
  forget_mechanism();
  for (explored_instance& each : m_cell.instances())
    kill_instance(each, m_cell.draw_time(milliseconds(300), milliseconds(2000)));
}

void cell_faults::freeze_one()
{
  explored_instance* const which = m_cell.any_up();
  if (which == nullptr)
    return;
  const duration time = m_cell.draw_time(milliseconds(500), milliseconds(9000));
  note("freeze " + which->name);
  lasts(time);
  which->time->freeze_until(m_cell.time().now() + time);
}

// A machine stands still as in a freeze, and its timers do not count that time.
void cell_faults::suspend_one()
{
  explored_instance* const which = m_cell.any_up();
  if (which == nullptr)
    return;
  const duration time = m_cell.draw_time(milliseconds(500), milliseconds(9000));
  note("suspend " + which->name);
  lasts(time);
  which->time->suspend_until(m_cell.time().now() + time);
}

void cell_faults::cut_for(const cut_pairs& pairs, duration time)
{
  lasts(time + k_entries_back);
  for (const auto& pair : pairs)
    m_cell.network().troubles.cuts.insert(pair);
  for (explored_instance& one : m_cell.instances())
  {
    for (explored_instance& other : m_cell.instances())
    {
      if (&one < &other && m_cell.network().cut(one.name, other.name))
        m_cell.time().schedule(k_link_break,
                               [this, &one, &other] { m_cell.link(one, other, false); });
    }
  }
  m_cell.time().schedule(std::min<duration>(k_entry_lapse, time),
                         [this]
                         {
                           for (fleet_worker& each : m_cell.workers())
                             m_cell.update_entry(each);
                         });
  m_cell.time().schedule(time,
                         [this, pairs]
                         {
                           for (const auto& pair : pairs)
                             m_cell.network().troubles.cuts.erase(pair);
                           for (explored_instance& one : m_cell.instances())
                           {
                             for (explored_instance& other : m_cell.instances())
                             {
                               if (&one < &other && !m_cell.network().cut(one.name, other.name))
                                 m_cell.link(one, other, true);
                             }
                           }
                           m_cell.time().schedule(k_entries_back,
                                                  [this]
                                                  {
                                                    for (fleet_worker& each : m_cell.workers())
                                                      m_cell.update_entry(each);
                                                  });
                         });
}

void cell_faults::cut_from_store()
{
  explored_instance& which = m_cell.instances()[m_cell.draw(m_cell.instances().size())];
  note("cut from the store: " + which.name);
  cut_for({{which.name, "store"}}, m_cell.draw_time(milliseconds(1000), milliseconds(9000)));
}

void cell_faults::store_away()
{
  note("store away");
  cut_pairs pairs;
  for (const explored_instance& each : m_cell.instances())
    pairs.emplace_back(each.name, "store");
  for (const fleet_worker& each : m_cell.workers())
    pairs.emplace_back(each.machine, "store");
  cut_for(pairs, m_cell.draw_time(milliseconds(1000), milliseconds(7500)));
}

void cell_faults::lose_answers()
{
  note("answers of the store are lost");
  lasts(seconds(4));
  m_cell.network().troubles.lost_store_reply_share = 0.3;
  m_cell.time().schedule(seconds(4),
                         [this] { m_cell.network().troubles.lost_store_reply_share = 0.0; });
}

void cell_faults::lose_orders()
{
  note("answers of workers are lost");
  lasts(seconds(4));
  m_cell.network().troubles.lost_worker_reply_share = 0.1;
  m_cell.time().schedule(seconds(4),
                         [this] { m_cell.network().troubles.lost_worker_reply_share = 0.0; });
}

void cell_faults::late_orders()
{
  note("orders are carried out late");
  lasts(seconds(5));
  m_cell.network().troubles.delayed_worker_call_share = 0.05;
  m_cell.time().schedule(seconds(5),
                         [this] { m_cell.network().troubles.delayed_worker_call_share = 0.0; });
}

// Each transaction takes some 200 ms, and the store turns more away.
void cell_faults::slow_store()
{
  note("the store is slow");
  lasts(seconds(6));
  m_cell.store().set_transaction_time(m_cell.draw_time(milliseconds(100), milliseconds(250)));
  m_cell.time().schedule(m_cell.draw_time(milliseconds(3000), milliseconds(6000)),
                         [this] { m_cell.store().set_transaction_time({}); });
}

void cell_faults::cut_zone()
{
  const std::string zone = "zone-" + std::to_string(m_cell.draw(explored_cell::k_zones));
  note("cut " + zone);
  std::map<std::string, bool> inside{{"store", false}, {"advice", false}};
  for (const explored_instance& each : m_cell.instances())
    inside[each.name] = each.zone == zone;
  for (const fleet_worker& each : m_cell.workers())
    inside[each.machine] = each.settings.zone == zone;
  cut_pairs pairs;
  for (const auto& [one, one_inside] : inside)
  {
    for (const auto& [other, other_inside] : inside)
    {
      if (one < other && one_inside != other_inside)
        pairs.emplace_back(one, other);
    }
  }
  cut_for(pairs, m_cell.draw_time(milliseconds(2000), milliseconds(7000)));
}

void cell_faults::forget_history()
{
  note("the store forgets its history");
  m_cell.store().forget_history();
}

// The store is down in part: for the owner's rows, for some jobs', or for both.
void cell_faults::silence_parts()
{
  std::vector<std::string> parts = node::job_parts();
  parts.emplace_back(k_partition);
  std::set<std::string> silent;
  std::string told;
  for (const std::string& part : parts)
  {
    if (m_cell.draw(k_silent_share) != 0)
      continue;
    silent.insert(part);
    told += " " + part;
  }
  note("the store is silent for" + told);
  lasts(milliseconds(7500));
  m_cell.store().silence_parts(std::move(silent));
  m_cell.time().schedule(m_cell.draw_time(milliseconds(1500), milliseconds(7500)),
                         [this] { m_cell.store().silence_parts({}); });
}

// The time of day jumps on one machine; the steady clock does not.
void cell_faults::step_clock()
{
  explored_instance* const which = m_cell.any_up();
  if (which == nullptr)
    return;
  const auto ahead = milliseconds(static_cast<std::int64_t>(m_cell.draw(8001)) - 4000);
  note("the clock of " + which->name + " jumps by " + std::to_string(ahead.count()) + " ms");
  which->time->step_wall(ahead);
}

// A machine gets a part of its processor only: nothing for most of each tenth of a second.
void cell_faults::slow_one()
{
  explored_instance* const which = m_cell.any_up();
  if (which == nullptr)
    return;
  note("slow " + which->name);
  const duration time = m_cell.draw_time(milliseconds(1000), milliseconds(6000));
  lasts(time);
  spend_quota(*which, which->time.get(), m_cell.time().now() + time);
}

void cell_faults::spend_quota(explored_instance& which, const process_time* process, time_point end)
{
  // It may have been started anew meanwhile.
  if (!which.up() || which.time.get() != process || m_cell.time().now() >= end)
    return;
  which.time->freeze_until(m_cell.time().now() + k_without_processor);
  m_cell.time().schedule(k_quota_period,
                         [this, &which, process, end] { spend_quota(which, process, end); });
}

explored_instance* cell_faults::owner()
{
  for (explored_instance& each : m_cell.instances())
  {
    if (each.up() && each.core->owns_any())
      return &each;
  }
  return nullptr;
}

// What a new owner would find if the mechanism were not there.
void cell_faults::forget_mechanism()
{
  if (m_without == omission::none)
    return;
  m_cell.store().forget_rows(m_without == omission::claims_forgotten ? node::k_claims_table
                                                                     : node::k_progress_table);
}
} // namespace yardhill::model
