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

constexpr milliseconds k_link_break_delay{1500};
// The only partition of the instances, whose rows are one part of the store.
constexpr const char* k_partition = "cell";
// Processor quota: the process gets no processor time for k_quota_pause of each period.
constexpr milliseconds k_quota_period{100};
constexpr milliseconds k_quota_pause{85};
// One in this many parts of the store is silent during a partial outage.
constexpr std::uint64_t k_silent_part_odds = 3;
// How often a stopping instance is checked for a completed hand-over.
constexpr milliseconds k_hand_over_period{50};
// Workers rewrite their entries this long after a network cut ends.
constexpr milliseconds k_entry_rewrite_delay{1500};
} // namespace

cell_faults::cell_faults(explored_cell& cell, omission without) : m_cell(cell), m_without(without)
{
  // The cell's processes have just started.
  m_cell.judge().disrupted(m_cell.begin(), m_cell.begin());
}

void cell_faults::record_fault(const std::string& description)
{
  const auto at = std::chrono::duration_cast<milliseconds>(m_cell.time().now() - m_cell.begin());
  m_descriptions.push_back(std::to_string(at.count()) + " ms: " + description);
  common::log_process("trouble", {{"what", description}});
  extend_disturbance({});
}

void cell_faults::extend_disturbance(duration time)
{
  const time_point now = m_cell.time().now();
  m_cell.judge().disrupted(now, now + time);
  m_disturbed_until = std::max(m_disturbed_until, now + time);
}

void cell_faults::draw()
{
  const std::uint64_t count = 2 + m_cell.draw(5);
  for (std::uint64_t i = 0; i < count; ++i)
    m_cell.time().schedule(m_cell.draw_time(milliseconds(2000), milliseconds(18000)),
                           [this] { inject_random_fault(); });
}

void cell_faults::inject_random_fault()
{
  using kind = void (cell_faults::*)();
  static constexpr std::array<kind, 28> k_kinds{&cell_faults::kill_owner,
                                                &cell_faults::kill_all,
                                                &cell_faults::stop_random_instance,
                                                &cell_faults::freeze_random_instance,
                                                &cell_faults::isolate_from_store,
                                                &cell_faults::make_store_unreachable,
                                                &cell_faults::lose_store_replies,
                                                &cell_faults::lose_worker_replies,
                                                &cell_faults::delay_worker_calls,
                                                &cell_faults::crash_worker,
                                                &cell_faults::drain_worker,
                                                &cell_faults::isolate_worker,
                                                &cell_faults::isolate_zone,
                                                &cell_faults::discard_history,
                                                &cell_faults::silence_parts,
                                                &cell_faults::step_clock,
                                                &cell_faults::throttle_random_instance,
                                                &cell_faults::slow_store,
                                                &cell_faults::restart_with_stale_entry,
                                                &cell_faults::reuse_address,
                                                &cell_faults::lose_owners_in_series,
                                                &cell_faults::lose_owners_under_burst,
                                                &cell_faults::reject_store_calls,
                                                &cell_faults::kill_in_series,
                                                &cell_faults::corrupt_entries,
                                                &cell_faults::submit_crashing,
                                                &cell_faults::shrink_capacities,
                                                &cell_faults::suspend_random_instance};
  (this->*k_kinds[m_cell.draw(k_kinds.size())])();
}

void cell_faults::kill_instance(explored_instance& which, duration down)
{
  if (!which.up())
    return;
  m_cell.end_instance(which);
  extend_disturbance(down);
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

void cell_faults::stop_random_instance()
{
  explored_instance* const which = m_cell.any_up();
  if (which == nullptr)
    return;
  record_fault("stop " + which->name);
  stop(*which);
}

// Planned stop: the process ends once it has handed over, or at the end of its grace period.
void cell_faults::stop(explored_instance& which)
{
  extend_disturbance({});
  which.core->begin_stop();
  wait_for_hand_over(which, m_cell.time().now() + k_stop_grace);
}

void cell_faults::wait_for_hand_over(explored_instance& which, time_point latest)
{
  if (!which.up())
    return; // killed during the stop
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
    record_fault("kill owner " + each.name);
    drop_omitted_rows();
    kill_instance(each, m_cell.draw_time(milliseconds(300), milliseconds(5000)));
    return;
  }
}

void cell_faults::kill_all()
{
  record_fault("kill all instances");
  drop_omitted_rows();
  for (explored_instance& each : m_cell.instances())
    kill_instance(each, m_cell.draw_time(milliseconds(300), milliseconds(2000)));
}

void cell_faults::freeze_random_instance()
{
  explored_instance* const which = m_cell.any_up();
  if (which == nullptr)
    return;
  const duration time = m_cell.draw_time(milliseconds(500), milliseconds(9000));
  record_fault("freeze " + which->name);
  extend_disturbance(time);
  which->time->freeze_until(m_cell.time().now() + time);
}

// Suspends a machine: like a freeze, except that its timers do not count the suspended time.
void cell_faults::suspend_random_instance()
{
  explored_instance* const which = m_cell.any_up();
  if (which == nullptr)
    return;
  const duration time = m_cell.draw_time(milliseconds(500), milliseconds(9000));
  record_fault("suspend " + which->name);
  extend_disturbance(time);
  which->time->suspend_until(m_cell.time().now() + time);
}

void cell_faults::cut_links_for(const network_cuts& pairs, duration time)
{
  extend_disturbance(time + k_entry_rewrite_delay);
  for (const auto& pair : pairs)
    m_cell.network().troubles.cuts.insert(pair);
  for (explored_instance& one : m_cell.instances())
  {
    for (explored_instance& other : m_cell.instances())
    {
      if (&one < &other && m_cell.network().cut(one.name, other.name))
        m_cell.time().schedule(k_link_break_delay,
                               [this, &one, &other] { m_cell.link(one, other, false); });
    }
  }
  m_cell.time().schedule(std::min<duration>(k_entry_expiry, time),
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
                           m_cell.time().schedule(k_entry_rewrite_delay,
                                                  [this]
                                                  {
                                                    for (fleet_worker& each : m_cell.workers())
                                                      m_cell.update_entry(each);
                                                  });
                         });
}

void cell_faults::isolate_from_store()
{
  explored_instance& which = m_cell.instances()[m_cell.draw(m_cell.instances().size())];
  record_fault("cut from the store: " + which.name);
  cut_links_for({{which.name, "store"}}, m_cell.draw_time(milliseconds(1000), milliseconds(9000)));
}

void cell_faults::make_store_unreachable()
{
  record_fault("store away");
  network_cuts pairs;
  for (const explored_instance& each : m_cell.instances())
    pairs.emplace_back(each.name, "store");
  for (const fleet_worker& each : m_cell.workers())
    pairs.emplace_back(each.machine, "store");
  cut_links_for(pairs, m_cell.draw_time(milliseconds(1000), milliseconds(7500)));
}

void cell_faults::lose_store_replies()
{
  record_fault("answers of the store are lost");
  extend_disturbance(seconds(4));
  m_cell.network().troubles.lost_store_reply_share = 0.3;
  m_cell.time().schedule(seconds(4),
                         [this] { m_cell.network().troubles.lost_store_reply_share = 0.0; });
}

void cell_faults::lose_worker_replies()
{
  record_fault("answers of workers are lost");
  extend_disturbance(seconds(4));
  m_cell.network().troubles.lost_worker_reply_share = 0.1;
  m_cell.time().schedule(seconds(4),
                         [this] { m_cell.network().troubles.lost_worker_reply_share = 0.0; });
}

void cell_faults::delay_worker_calls()
{
  record_fault("orders are carried out late");
  extend_disturbance(seconds(5));
  m_cell.network().troubles.delayed_worker_call_share = 0.05;
  m_cell.time().schedule(seconds(5),
                         [this] { m_cell.network().troubles.delayed_worker_call_share = 0.0; });
}

// Each transaction takes 100 to 250 ms, so the store rejects more of them.
void cell_faults::slow_store()
{
  record_fault("the store is slow");
  extend_disturbance(seconds(6));
  m_cell.store().set_transaction_time(m_cell.draw_time(milliseconds(100), milliseconds(250)));
  m_cell.time().schedule(m_cell.draw_time(milliseconds(3000), milliseconds(6000)),
                         [this] { m_cell.store().set_transaction_time({}); });
}

void cell_faults::isolate_zone()
{
  const std::string zone = "zone-" + std::to_string(m_cell.draw(explored_cell::k_zones));
  record_fault("cut " + zone);
  std::map<std::string, bool> inside{{"store", false}, {"advice", false}};
  for (const explored_instance& each : m_cell.instances())
    inside[each.name] = each.zone == zone;
  for (const fleet_worker& each : m_cell.workers())
    inside[each.machine] = each.settings.zone == zone;
  network_cuts pairs;
  for (const auto& [one, one_inside] : inside)
  {
    for (const auto& [other, other_inside] : inside)
    {
      if (one < other && one_inside != other_inside)
        pairs.emplace_back(one, other);
    }
  }
  cut_links_for(pairs, m_cell.draw_time(milliseconds(2000), milliseconds(7000)));
}

void cell_faults::discard_history()
{
  record_fault("the store forgets its history");
  m_cell.store().discard_history();
}

// Partial outage of the store: for the owner's rows, for the rows of some jobs, or for both.
void cell_faults::silence_parts()
{
  std::vector<std::string> parts = node::job_parts();
  parts.emplace_back(k_partition);
  std::set<std::string> silent;
  std::string silent_names;
  for (const std::string& part : parts)
  {
    if (m_cell.draw(k_silent_part_odds) != 0)
      continue;
    silent.insert(part);
    silent_names += " " + part;
  }
  record_fault("the store is silent for" + silent_names);
  extend_disturbance(milliseconds(7500));
  m_cell.store().silence_parts(std::move(silent));
  m_cell.time().schedule(m_cell.draw_time(milliseconds(1500), milliseconds(7500)),
                         [this] { m_cell.store().silence_parts({}); });
}

// Shifts the wall clock of one machine; its steady clock is unaffected.
void cell_faults::step_clock()
{
  explored_instance* const which = m_cell.any_up();
  if (which == nullptr)
    return;
  const auto ahead = milliseconds(static_cast<std::int64_t>(m_cell.draw(8001)) - 4000);
  record_fault("the clock of " + which->name + " jumps by " + std::to_string(ahead.count()) +
               " ms");
  which->time->step_wall(ahead);
}

// Throttles a machine: it gets no processor time for most of each 100 ms.
void cell_faults::throttle_random_instance()
{
  explored_instance* const which = m_cell.any_up();
  if (which == nullptr)
    return;
  record_fault("slow " + which->name);
  const duration time = m_cell.draw_time(milliseconds(1000), milliseconds(6000));
  extend_disturbance(time);
  spend_quota(*which, which->time.get(), m_cell.time().now() + time);
}

void cell_faults::spend_quota(explored_instance& which, const process_time* process, time_point end)
{
  // The instance may have been restarted since the throttling began.
  if (!which.up() || which.time.get() != process || m_cell.time().now() >= end)
    return;
  which.time->freeze_until(m_cell.time().now() + k_quota_pause);
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

// Deletes the rows that a new owner would not find if the omitted mechanism did not exist.
void cell_faults::drop_omitted_rows()
{
  if (m_without == omission::none)
    return;
  m_cell.store().forget_rows(m_without == omission::claims_omitted ? node::k_claims_table
                                                                   : node::k_progress_table);
}
} // namespace yardhill::model
