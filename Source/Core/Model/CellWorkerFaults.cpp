// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// The troubles of workers.

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

// From a worker's loss for good until another one is there in its place.
constexpr seconds k_room_back{20};
// For as long as tasks that crash their workers may be tried.
constexpr seconds k_crashes_last{20};
// How often workers write their entries.
constexpr milliseconds k_beat{1500};
// What another writer leaves in place of an entry.
const std::array<std::string, 6> k_broken_entries{
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
  note("crash " + which.settings.id);
  m_cell.judge().worker_crashed(which.settings.life);
  lasts(k_entry_lapse);
  worker_fleet::end_life(which);
  m_cell.time().schedule(k_entry_lapse,
                         [this, &which]
                         {
                           if (!which.model)
                             m_cell.update_entry(which);
                         });
  m_cell.time().schedule(m_cell.draw_time(milliseconds(1000), milliseconds(8000)),
                         [this, &which] { replace_worker(which); });
}

// It says that it leaves, serves on for a while, and is gone with all that runs there.
void cell_faults::drain_worker()
{
  fleet_worker& which = m_cell.workers()[m_cell.draw(m_cell.workers().size())];
  if (!which.model || which.draining)
    return;
  note("drain " + which.settings.id);
  lasts(seconds(12)); // until the next one is there
  which.draining = true;
  m_cell.update_entry(which);
  if (which.listed)
    m_cell.judge().worker_leaving(which.settings.life, m_cell.time().now());
  m_cell.time().schedule(m_cell.draw_time(milliseconds(2000), milliseconds(11000)),
                         [this, &which, life = which.settings.life]
                         {
                           if (!which.model || which.settings.life != life)
                             return; // it has crashed meanwhile
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

void cell_faults::cut_worker()
{
  const fleet_worker& which = m_cell.workers()[m_cell.draw(m_cell.workers().size())];
  note("cut off " + which.settings.id);
  cut_for(cut_of(which), m_cell.draw_time(milliseconds(1000), milliseconds(12000)));
}

cell_faults::cut_pairs cell_faults::cut_of(const fleet_worker& which) const
{
  cut_pairs pairs{{which.machine, "store"}};
  for (const explored_instance& each : m_cell.instances())
    pairs.emplace_back(each.name, which.machine);
  return pairs;
}

// A worker is cut off, crashes there and starts again. Its earlier life's last entry waits behind
// the cut and is written after the first one of the life that has its address now.
void cell_faults::reborn_worker()
{
  fleet_worker& which = m_cell.workers()[m_cell.draw(m_cell.workers().size())];
  if (!which.model)
    return;
  const duration time = m_cell.draw_time(milliseconds(2000), milliseconds(7000));
  const std::string earlier = which.settings.id;
  const std::string entry = which.model->entry(which.draining);
  note("reborn behind a cut: " + earlier);
  m_cell.judge().worker_crashed(which.settings.life);
  cut_for(cut_of(which), time);
  worker_fleet::end_life(which);
  m_cell.fleet().begin_life(which);
  const duration written = time + m_cell.draw_time(milliseconds(1000), milliseconds(4000));
  m_cell.time().schedule(written,
                         [this, earlier, entry] { m_cell.fleet().write_entry_of(earlier, entry); });
  m_cell.time().schedule(written + k_entry_lapse,
                         [this, earlier, &which]
                         {
                           // Under the same id the present life writes its own at the next beat.
                           if (which.settings.id == earlier && which.model)
                             m_cell.update_entry(which);
                           else
                             m_cell.fleet().remove_entry_of(earlier);
                         });
  lasts(written + k_entry_lapse);
}

// Another writer puts something else in place of some workers' entries, and an entry of no worker
// beside them; after a while the workers write their own again.
void cell_faults::break_entries()
{
  const std::uint64_t count = 1 + m_cell.draw(3);
  for (std::uint64_t i = 0; i < count; ++i)
  {
    fleet_worker& which = m_cell.workers()[m_cell.draw(m_cell.workers().size())];
    if (!which.model || !which.broken_entry.empty())
      continue;
    const std::string life = which.settings.life;
    note("break the entry of " + life);
    which.broken_entry = k_broken_entries[m_cell.draw(k_broken_entries.size())];
    m_cell.update_entry(which);
    const duration time = m_cell.draw_time(milliseconds(500), milliseconds(12000));
    lasts(time);
    m_cell.time().schedule(time,
                           [this, &which, life]
                           {
                             if (!which.model || which.settings.life != life)
                               return;
                             which.broken_entry.clear();
                             m_cell.update_entry(which);
                           });
  }
  m_cell.fleet().write_entry_of("worker-of-nobody", std::string(k_broken_entries.front()));
}

// Jobs come of which a task crashes each worker that starts it.
void cell_faults::submit_crashing()
{
  note("jobs come that crash their workers");
  lasts(k_crashes_last);
  m_cell.callers().submit_crashing(1 + m_cell.draw(3));
}

// Some workers have less room for a while, down to none at all; what runs there goes on.
void cell_faults::shrink_rooms()
{
  const std::uint64_t count = 1 + m_cell.draw(3);
  for (std::uint64_t i = 0; i < count; ++i)
  {
    fleet_worker& which = m_cell.workers()[m_cell.draw(m_cell.workers().size())];
    if (!which.model || which.shrunk)
      continue;
    const common::resources whole = which.settings.capacity;
    note("the room of " + which.settings.id + " shrinks");
    which.shrunk = true;
    set_room(which, common::scaled(whole, 0.25 * static_cast<double>(m_cell.draw(4))));
    const duration time = m_cell.draw_time(milliseconds(500), milliseconds(14000));
    lasts(time);
    m_cell.time().schedule(time,
                           [this, &which, whole]
                           {
                             which.shrunk = false;
                             set_room(which, whole);
                           });
  }
}

// The entry says it at the worker's next beat.
void cell_faults::set_room(fleet_worker& which, const common::resources& room)
{
  worker_fleet::set_capacity(which, room);
  m_cell.time().schedule(m_cell.draw_time(milliseconds(1), k_beat),
                         [this, &which]
                         {
                           if (which.model)
                             m_cell.update_entry(which);
                         });
}

// A worker crashes, and another service's worker is at its address at once.
void cell_faults::reuse_address()
{
  fleet_worker& which = m_cell.workers()[m_cell.draw(m_cell.workers().size())];
  if (!which.model)
    return;
  const std::string earlier = which.settings.id;
  const std::string service = which.settings.service;
  note("the address goes to another service: " + earlier);
  m_cell.judge().worker_crashed(which.settings.life);
  lasts(seconds(9));
  worker_fleet::end_life(which);
  which.listed = false; // the entry lapses by itself
  m_cell.time().schedule(k_entry_lapse,
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

void cell_faults::crash_for_good()
{
  fleet_worker& which = m_cell.workers()[m_cell.draw(m_cell.workers().size())];
  if (!which.model)
    return;
  note("crash for good " + which.settings.id);
  m_cell.judge().worker_crashed(which.settings.life);
  worker_fleet::end_life(which);
  lasts(k_entry_lapse);
  m_cell.time().schedule(k_entry_lapse,
                         [this, &which]
                         {
                           if (!which.model)
                             m_cell.update_entry(which);
                         });
  // The room comes back, so that the jobs of a burst can end within the play; long after tasks that
  // last have to run again elsewhere.
  m_cell.time().schedule(k_room_back, [this, &which] { replace_worker(which); });
}
} // namespace yardhill::model
