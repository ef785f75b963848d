// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Faults of workers.

#include "Model/CellFaults.h"

#include <array>
#include <chrono>
#include <string>

namespace yardhill::model
{
namespace
{
using std::chrono::milliseconds;
using std::chrono::seconds;

// Time from a worker's permanent crash until a replacement starts.
constexpr seconds k_replacement_delay{20};
// How long tasks that crash their workers may be retried.
constexpr seconds k_crash_disturbance{20};
// The period at which workers write their entries.
constexpr milliseconds k_entry_period{1500};
// Invalid values that another writer puts in place of a worker's entry.
const std::array<std::string, 6> k_corrupt_entries{
    R"({"service":"service","zone":"zone-0","state":"ready"})",
    R"({"service":"service","address":"10.1.0.1:80","zone":"zone-0","state":"resting",)"
    R"("capacity":{"cpu":4000,"mem_mb":16000,"gpu":0}})",
    R"({"service":7,"address":"10.1.0.1:80","zone":"zone-0","state":"ready"})",
    R"({"service":"service","address":"10.1.0.1:80","zone":"zone-0","state":"ready"})",
    "\xff\xfe not readable",
    "[[[[[[]]]]]]"};
} // namespace

void cell_faults::crash_worker()
{
  fleet_worker& which = m_cell.workers()[m_cell.draw(m_cell.workers().size())];
  if (!which.model)
    return;
  record_fault("crash " + which.settings.id);
  m_cell.judge().worker_crashed(which.settings.life);
  extend_disturbance(k_entry_expiry);
  worker_fleet::end_life(which);
  m_cell.time().schedule(k_entry_expiry,
                         [this, &which]
                         {
                           if (!which.model)
                             m_cell.update_entry(which);
                         });
  m_cell.time().schedule(m_cell.draw_time(milliseconds(1000), milliseconds(8000)),
                         [this, &which] { replace_worker(which); });
}

// Drains a worker: it announces that it will leave, continues for a while, and then ends with all
// runs that it has.
void cell_faults::drain_worker()
{
  fleet_worker& which = m_cell.workers()[m_cell.draw(m_cell.workers().size())];
  if (!which.model || which.draining)
    return;
  record_fault("drain " + which.settings.id);
  extend_disturbance(seconds(12)); // until the replacement has started
  which.draining = true;
  m_cell.update_entry(which);
  if (which.listed)
    m_cell.judge().worker_leaving(which.settings.life, m_cell.time().now());
  m_cell.time().schedule(m_cell.draw_time(milliseconds(2000), milliseconds(11000)),
                         [this, &which, incarnation = which.settings.life]
                         {
                           if (!which.model || which.settings.life != incarnation)
                             return; // the worker has crashed since the drain began
                           worker_fleet::end_life(which);
                           m_cell.fleet().remove_entry(which);
                           m_cell.time().schedule(seconds(1),
                                                  [this, &which] { replace_worker(which); });
                         });
}

void cell_faults::replace_worker(fleet_worker& which)
{
  if (which.model)
    return;
  m_cell.start_worker(which);
}

void cell_faults::isolate_worker()
{
  const fleet_worker& which = m_cell.workers()[m_cell.draw(m_cell.workers().size())];
  record_fault("cut off " + which.settings.id);
  cut_links_for(links_of(which), m_cell.draw_time(milliseconds(1000), milliseconds(12000)));
}

cell_faults::network_cuts cell_faults::links_of(const fleet_worker& which) const
{
  network_cuts pairs{{which.machine, "store"}};
  for (const explored_instance& each : m_cell.instances())
    pairs.emplace_back(each.name, which.machine);
  return pairs;
}

// An isolated worker crashes and restarts. The last entry of its previous incarnation is delayed by
// the isolation and is written after the first entry of the incarnation that now has the address.
void cell_faults::restart_with_stale_entry()
{
  fleet_worker& which = m_cell.workers()[m_cell.draw(m_cell.workers().size())];
  if (!which.model)
    return;
  const duration time = m_cell.draw_time(milliseconds(2000), milliseconds(7000));
  const std::string earlier = which.settings.id;
  const std::string entry = which.model->entry(which.draining);
  record_fault("reborn behind a cut: " + earlier);
  m_cell.judge().worker_crashed(which.settings.life);
  cut_links_for(links_of(which), time);
  worker_fleet::end_life(which);
  m_cell.fleet().begin_life(which);
  const duration written = time + m_cell.draw_time(milliseconds(1000), milliseconds(4000));
  m_cell.time().schedule(written,
                         [this, earlier, entry] { m_cell.fleet().write_entry_of(earlier, entry); });
  m_cell.time().schedule(written + k_entry_expiry,
                         [this, earlier, &which]
                         {
                           // A present incarnation with the same id writes its own entry at its
                           // next period.
                           if (which.settings.id == earlier && which.model)
                             m_cell.update_entry(which);
                           else
                             m_cell.fleet().remove_entry_of(earlier);
                         });
  extend_disturbance(written + k_entry_expiry);
}

// Another writer replaces the entries of some workers by invalid values and adds an entry that
// belongs to no worker; after a while the workers write their own entries again.
void cell_faults::corrupt_entries()
{
  const std::uint64_t count = 1 + m_cell.draw(3);
  for (std::uint64_t i = 0; i < count; ++i)
  {
    fleet_worker& which = m_cell.workers()[m_cell.draw(m_cell.workers().size())];
    if (!which.model || !which.corrupt_entry.empty())
      continue;
    const std::string incarnation = which.settings.life;
    record_fault("break the entry of " + incarnation);
    which.corrupt_entry = k_corrupt_entries[m_cell.draw(k_corrupt_entries.size())];
    m_cell.update_entry(which);
    const duration time = m_cell.draw_time(milliseconds(500), milliseconds(12000));
    extend_disturbance(time);
    m_cell.time().schedule(time,
                           [this, &which, incarnation]
                           {
                             if (!which.model || which.settings.life != incarnation)
                               return;
                             which.corrupt_entry.clear();
                             m_cell.update_entry(which);
                           });
  }
  m_cell.fleet().write_entry_of("worker-of-nobody", std::string(k_corrupt_entries.front()));
}

// Submits jobs of which one task crashes each worker that starts it.
void cell_faults::submit_crashing()
{
  record_fault("jobs come that crash their workers");
  extend_disturbance(k_crash_disturbance);
  m_cell.callers().submit_crashing(1 + m_cell.draw(3));
}

// Reduces the capacity of some workers for a while, down to none at all; their runs continue.
void cell_faults::shrink_capacities()
{
  const std::uint64_t count = 1 + m_cell.draw(3);
  for (std::uint64_t i = 0; i < count; ++i)
  {
    fleet_worker& which = m_cell.workers()[m_cell.draw(m_cell.workers().size())];
    if (!which.model || which.shrunk)
      continue;
    const common::resources full_capacity = which.settings.capacity;
    record_fault("the room of " + which.settings.id + " shrinks");
    which.shrunk = true;
    change_capacity(which,
                    common::scaled(full_capacity, 0.25 * static_cast<double>(m_cell.draw(4))));
    const duration time = m_cell.draw_time(milliseconds(500), milliseconds(14000));
    extend_disturbance(time);
    m_cell.time().schedule(time,
                           [this, &which, full_capacity]
                           {
                             which.shrunk = false;
                             change_capacity(which, full_capacity);
                           });
  }
}

// The worker's entry shows the new capacity only when the worker writes it next.
void cell_faults::change_capacity(fleet_worker& which, const common::resources& capacity)
{
  worker_fleet::set_capacity(which, capacity);
  m_cell.time().schedule(m_cell.draw_time(milliseconds(1), k_entry_period),
                         [this, &which]
                         {
                           if (which.model)
                             m_cell.update_entry(which);
                         });
}

// Crashes a worker, whose address is taken over at once by a worker of another service.
void cell_faults::reuse_address()
{
  fleet_worker& which = m_cell.workers()[m_cell.draw(m_cell.workers().size())];
  if (!which.model)
    return;
  const std::string earlier = which.settings.id;
  const std::string service = which.settings.service;
  record_fault("the address goes to another service: " + earlier);
  m_cell.judge().worker_crashed(which.settings.life);
  extend_disturbance(seconds(9));
  worker_fleet::end_life(which);
  which.listed = false; // the old entry expires without a removal by the new worker
  m_cell.time().schedule(k_entry_expiry,
                         [this, earlier] { m_cell.fleet().remove_entry_of(earlier); });
  which.settings.service = "other-service";
  m_cell.start_worker(which);
  m_cell.time().schedule(m_cell.draw_time(milliseconds(5000), milliseconds(9000)),
                         [this, &which, service]
                         {
                           worker_fleet::end_life(which);
                           which.settings.service = service;
                           m_cell.start_worker(which);
                         });
}

void cell_faults::crash_permanently()
{
  fleet_worker& which = m_cell.workers()[m_cell.draw(m_cell.workers().size())];
  if (!which.model)
    return;
  record_fault("crash for good " + which.settings.id);
  m_cell.judge().worker_crashed(which.settings.life);
  worker_fleet::end_life(which);
  extend_disturbance(k_entry_expiry);
  m_cell.time().schedule(k_entry_expiry,
                         [this, &which]
                         {
                           if (!which.model)
                             m_cell.update_entry(which);
                         });
  // The capacity is replaced, so that the jobs of a burst can end within the simulation, but only
  // long after the time by which long-running tasks must run again on other workers.
  m_cell.time().schedule(k_replacement_delay, [this, &which] { replace_worker(which); });
}
} // namespace yardhill::model
