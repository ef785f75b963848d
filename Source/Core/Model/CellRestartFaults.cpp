// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Workers that start again under the id that they had. They are drawn from a generator of their
// own, so that a seed's other troubles are the same with them and without.

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

// One life in so many bears another id; one in so many is of another kind; one in so many begins
// while its machine's time of day is off.
constexpr std::uint64_t k_new_id_share = 4;
constexpr std::uint64_t k_other_kind_share = 5;
constexpr std::uint64_t k_clock_off_share = 4;
// A new life's clock shows less than this at first, as a rule; one in so many shows anything below
// the larger bound.
constexpr std::uint64_t k_young_clock_ms = 3000;
constexpr std::uint64_t k_old_clock_ms = 200000;
constexpr std::uint64_t k_old_clock_share = 3;
constexpr std::uint64_t k_most_clock_off_ms = 8000;
// A new life writes its first entry within a beat.
constexpr milliseconds k_beat{1500};
constexpr std::uint64_t k_series_share = 3;
constexpr double k_many_late = 0.3;
} // namespace

std::uint64_t cell_faults::draw_restart(std::uint64_t below)
{
  return m_restart_random() % below;
}

duration cell_faults::draw_restart_time(milliseconds least, milliseconds most)
{
  return least + milliseconds(static_cast<std::int64_t>(
                     draw_restart(static_cast<std::uint64_t>((most - least).count()))));
}

incarnation_plan cell_faults::plan_life()
{
  incarnation_plan plan;
  plan.keeps_id = draw_restart(k_new_id_share) != 0;
  const std::uint64_t most =
      draw_restart(k_old_clock_share) == 0 ? k_old_clock_ms : k_young_clock_ms;
  plan.clock = milliseconds(static_cast<std::int64_t>(draw_restart(most)));
  if (draw_restart(k_clock_off_share) == 0)
    plan.wall_ahead = milliseconds(static_cast<std::int64_t>(draw_restart(k_most_clock_off_ms)) -
                                   static_cast<std::int64_t>(k_most_clock_off_ms / 2));
  return plan;
}

void cell_faults::draw_restarts(std::uint64_t seed)
{
  m_restart_random.seed(seed);
  m_cell.fleet().set_incarnation_planner([this] { return plan_life(); });
  const std::uint64_t count = 2 + draw_restart(4);
  for (std::uint64_t i = 0; i < count; ++i)
    m_cell.time().schedule(draw_restart_time(milliseconds(2000), milliseconds(18000)),
                           [this] { befall_restart(); });
}

void cell_faults::befall_restart()
{
  using kind = void (cell_faults::*)();
  static constexpr std::array<kind, 5> k_kinds{
      &cell_faults::restart_workers, &cell_faults::restart_behind_cut,
      &cell_faults::restart_beside_late_orders, &cell_faults::restart_beside_lost_owner,
      &cell_faults::restart_beside_crashing};
  (this->*k_kinds[draw_restart(k_kinds.size())])();
}

// Some or most workers at once; some of them several times in a row.
void cell_faults::restart_workers()
{
  const std::uint64_t most = m_cell.workers().size() * 2 / 3;
  const std::uint64_t count = 1 + draw_restart(most);
  const std::uint64_t times = draw_restart(k_series_share) == 0 ? 3 : 1;
  for (std::uint64_t i = 0; i < count; ++i)
    restart(m_cell.workers()[draw_restart(m_cell.workers().size())], times);
}

void cell_faults::restart(fleet_worker& which, std::uint64_t times)
{
  if (!which.model || times == 0)
    return;
  note("restart " + which.settings.life);
  m_cell.judge().worker_crashed(which.settings.life);
  worker_fleet::end_life(which);
  const duration down = draw_restart_time(milliseconds(100), milliseconds(4000));
  lasts(down + k_beat);
  m_cell.time().schedule(down, [this, &which, times] { begin_again(which, times); });
}

void cell_faults::begin_again(fleet_worker& which, std::uint64_t times)
{
  if (which.model)
    return;
  const common::resources whole = which.settings.capacity;
  if (draw_restart(k_other_kind_share) == 0)
    which.settings.capacity = common::scaled(whole, 0.5);
  m_cell.fleet().begin_life(which);
  which.settings.capacity = whole; // of the life after it
  const std::string life = which.settings.life;
  m_cell.time().schedule(draw_restart_time(milliseconds(1), k_beat),
                         [this, &which, life]
                         {
                           if (which.model && which.settings.life == life)
                             m_cell.update_entry(which);
                         });
  if (times > 1)
    m_cell.time().schedule(draw_restart_time(milliseconds(300), milliseconds(4000)),
                           [this, &which, times] { restart(which, times - 1); });
}

void cell_faults::restart_behind_cut()
{
  fleet_worker& which = m_cell.workers()[draw_restart(m_cell.workers().size())];
  note("restart behind a cut: " + which.settings.life);
  cut_for(cut_of(which), draw_restart_time(milliseconds(1500), milliseconds(9000)));
  m_cell.time().schedule(draw_restart_time(milliseconds(50), milliseconds(1500)),
                         [this, &which] { restart(which, 1); });
}

// Orders to the life before are carried out by the one after it.
void cell_faults::restart_beside_late_orders()
{
  note("many orders are carried out late");
  lasts(seconds(4));
  m_cell.network().troubles.delayed_worker_call_share = k_many_late;
  m_cell.time().schedule(seconds(4),
                         [this] { m_cell.network().troubles.delayed_worker_call_share = 0.0; });
  m_cell.time().schedule(draw_restart_time(milliseconds(200), milliseconds(4000)),
                         [this] { restart_workers(); });
}

void cell_faults::restart_beside_lost_owner()
{
  restart_workers();
  m_cell.time().schedule(draw_restart_time(milliseconds(0), milliseconds(5000)),
                         [this] { trouble_owner(); });
}

void cell_faults::restart_beside_crashing()
{
  submit_crashing();
  m_cell.time().schedule(draw_restart_time(milliseconds(0), milliseconds(4000)),
                         [this] { restart_workers(); });
}
} // namespace yardhill::model
