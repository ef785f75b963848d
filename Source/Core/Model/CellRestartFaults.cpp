// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Restarts of workers under their previous ids. They are drawn from a separate random generator, so
// that the seed's other faults are the same with and without them.

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

// Odds, one in this many new incarnations: the worker gets another id; has another capacity; starts
// while its machine's wall clock is off.
constexpr std::uint64_t k_new_id_odds = 4;
constexpr std::uint64_t k_other_capacity_odds = 5;
constexpr std::uint64_t k_clock_off_odds = 4;
// A new incarnation's clock usually starts below k_low_clock_ms; one in k_high_clock_odds starts
// anywhere below k_high_clock_ms.
constexpr std::uint64_t k_low_clock_ms = 3000;
constexpr std::uint64_t k_high_clock_ms = 200000;
constexpr std::uint64_t k_high_clock_odds = 3;
constexpr std::uint64_t k_most_clock_off_ms = 8000;
// A new incarnation writes its first entry within one period of entry writes.
constexpr milliseconds k_entry_period{1500};
constexpr std::uint64_t k_series_odds = 3;
constexpr double k_high_delayed_share = 0.3;
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

incarnation_plan cell_faults::plan_incarnation()
{
  incarnation_plan plan;
  plan.keeps_id = draw_restart(k_new_id_odds) != 0;
  const std::uint64_t most =
      draw_restart(k_high_clock_odds) == 0 ? k_high_clock_ms : k_low_clock_ms;
  plan.clock = milliseconds(static_cast<std::int64_t>(draw_restart(most)));
  if (draw_restart(k_clock_off_odds) == 0)
    plan.wall_ahead = milliseconds(static_cast<std::int64_t>(draw_restart(k_most_clock_off_ms)) -
                                   static_cast<std::int64_t>(k_most_clock_off_ms / 2));
  return plan;
}

void cell_faults::draw_restarts(std::uint64_t seed)
{
  m_restart_random.seed(seed);
  m_cell.fleet().set_incarnation_planner([this] { return plan_incarnation(); });
  const std::uint64_t count = 2 + draw_restart(4);
  for (std::uint64_t i = 0; i < count; ++i)
    m_cell.time().schedule(draw_restart_time(milliseconds(2000), milliseconds(18000)),
                           [this] { inject_random_restart(); });
}

void cell_faults::inject_random_restart()
{
  using kind = void (cell_faults::*)();
  static constexpr std::array<kind, 5> k_kinds{
      &cell_faults::restart_workers, &cell_faults::restart_while_isolated,
      &cell_faults::restart_during_delayed_calls, &cell_faults::restart_during_owner_loss,
      &cell_faults::restart_during_crashing_jobs};
  (this->*k_kinds[draw_restart(k_kinds.size())])();
}

// Restarts some or most workers at once, either once or three times in a row each.
void cell_faults::restart_workers()
{
  const std::uint64_t most = m_cell.workers().size() * 2 / 3;
  const std::uint64_t count = 1 + draw_restart(most);
  const std::uint64_t times = draw_restart(k_series_odds) == 0 ? 3 : 1;
  for (std::uint64_t i = 0; i < count; ++i)
    restart(m_cell.workers()[draw_restart(m_cell.workers().size())], times);
}

void cell_faults::restart(fleet_worker& which, std::uint64_t times)
{
  if (!which.model || times == 0)
    return;
  record_fault("restart " + which.settings.life);
  m_cell.judge().worker_crashed(which.settings.life);
  worker_fleet::end_life(which);
  const duration down = draw_restart_time(milliseconds(100), milliseconds(4000));
  extend_disturbance(down + k_entry_period);
  m_cell.time().schedule(down, [this, &which, times] { start_next_incarnation(which, times); });
}

void cell_faults::start_next_incarnation(fleet_worker& which, std::uint64_t times)
{
  if (which.model)
    return;
  const common::resources full_capacity = which.settings.capacity;
  if (draw_restart(k_other_capacity_odds) == 0)
    which.settings.capacity = common::scaled(full_capacity, 0.5);
  m_cell.fleet().begin_life(which);
  which.settings.capacity = full_capacity; // for the next incarnation
  const std::string incarnation = which.settings.life;
  m_cell.time().schedule(draw_restart_time(milliseconds(1), k_entry_period),
                         [this, &which, incarnation]
                         {
                           if (which.model && which.settings.life == incarnation)
                             m_cell.update_entry(which);
                         });
  if (times > 1)
    m_cell.time().schedule(draw_restart_time(milliseconds(300), milliseconds(4000)),
                           [this, &which, times] { restart(which, times - 1); });
}

void cell_faults::restart_while_isolated()
{
  fleet_worker& which = m_cell.workers()[draw_restart(m_cell.workers().size())];
  record_fault("restart behind a cut: " + which.settings.life);
  cut_links_for(links_of(which), draw_restart_time(milliseconds(1500), milliseconds(9000)));
  m_cell.time().schedule(draw_restart_time(milliseconds(50), milliseconds(1500)),
                         [this, &which] { restart(which, 1); });
}

// Requests sent to one incarnation are executed late, by the next one.
void cell_faults::restart_during_delayed_calls()
{
  record_fault("many orders are carried out late");
  extend_disturbance(seconds(4));
  m_cell.network().troubles.delayed_worker_call_share = k_high_delayed_share;
  m_cell.time().schedule(seconds(4),
                         [this] { m_cell.network().troubles.delayed_worker_call_share = 0.0; });
  m_cell.time().schedule(draw_restart_time(milliseconds(200), milliseconds(4000)),
                         [this] { restart_workers(); });
}

void cell_faults::restart_during_owner_loss()
{
  restart_workers();
  m_cell.time().schedule(draw_restart_time(milliseconds(0), milliseconds(5000)),
                         [this] { disrupt_owner(); });
}

void cell_faults::restart_during_crashing_jobs()
{
  submit_crashing();
  m_cell.time().schedule(draw_restart_time(milliseconds(0), milliseconds(4000)),
                         [this] { restart_workers(); });
}
} // namespace yardhill::model
