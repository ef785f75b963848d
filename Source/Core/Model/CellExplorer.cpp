// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Model/CellExplorer.h"

#include <utility>

#include "Common/EventLog.h"
#include "Common/PlayLog.h"
#include "Model/CancelJudge.h"
#include "Model/CellFaults.h"
#include "Model/CountJudge.h"
#include "Model/ExploredCell.h"

namespace yardhill::model
{
namespace
{
using std::chrono::seconds;

// Jobs come until troubles are over; the rest is for what is left to end.
constexpr seconds k_first_job{1};
constexpr seconds k_troubled{20};
constexpr seconds k_length{60};
// A job that still runs then is not lost: the platform counts one of which nothing runs for 3 s.
constexpr seconds k_overtime{15};
constexpr seconds k_nothing_runs{3};
// How often the judge looks at tasks that are to last.
constexpr std::chrono::milliseconds k_look_period{100};
// For the answers to the last questions.
constexpr seconds k_answers{3};

std::vector<usable_worker> usable_workers(explored_cell& cell)
{
  std::vector<usable_worker> usable;
  for (const fleet_worker& each : cell.workers())
  {
    if (each.model && each.listed && !each.draining &&
        each.settings.service == worker_settings{}.service)
      usable.push_back({each.settings.life, each.settings.capacity});
  }
  return usable;
}

// While it lives the event log tells the cell's time.
class logged_time
{
public:
  explicit logged_time(explored_cell& cell)
  {
    common::set_play_clock(
        [&cell]
        {
          return std::chrono::duration_cast<std::chrono::milliseconds>(cell.time().now() -
                                                                       cell.begin());
        });
  }
  ~logged_time()
  {
    common::flush_event_log();
    common::set_play_clock(nullptr);
  }
  logged_time(const logged_time&) = delete;
  logged_time& operator=(const logged_time&) = delete;
};

void finish_work(explored_cell& cell)
{
  const time_point latest = cell.begin() + k_length + k_overtime;
  time_point idle_since = cell.time().now();
  while (cell.time().now() < latest && cell.time().now() - idle_since < k_nothing_runs)
  {
    cell.time().run_until(cell.time().now() + k_look_period);
    if (cell.judge().works())
      idle_since = cell.time().now();
  }
}

void watch_lasting(explored_cell& cell, const cell_faults& troubles)
{
  cell.judge().check_lasting(usable_workers(cell), cell.time().now(), troubles.disturbed_until());
  cell.time().schedule(k_look_period, [&cell, &troubles] { watch_lasting(cell, troubles); });
}
} // namespace

exploration explore_cell(std::uint64_t seed, omission without, restarts how, std::size_t partitions)
{
  explored_cell cell(seed, partitions);
  const logged_time logged(cell);
  cell_faults troubles(cell, without);
  cell.time().schedule(k_first_job,
                       [&cell]
                       {
                         cell.callers().submit_long_running();
                         cell.callers().submit_jobs_until(cell.begin() + k_troubled);
                       });
  watch_lasting(cell, troubles);
  const count_judge counts(cell, cell.begin() + k_length);
  const cancel_judge cancelled(cell, cell.begin() + k_length);
  troubles.draw();
  if (how == restarts::under_one_id)
    troubles.draw_restarts(seed);
  cell.time().run_until(cell.begin() + k_length);
  finish_work(cell);
  cell.callers().ask_all();
  cell.time().run_until(cell.time().now() + k_answers);
  cell.judge().check_all_ended(cell.callers().states());
  std::vector<std::string> violations = cell.judge().violations();
  violations.insert(violations.end(), counts.violations().begin(), counts.violations().end());
  return {std::move(violations), troubles.told(),  cell.judge().accepted_jobs(),
          cell.judge().starts(), counts.counted(), counts.unknown()};
}
} // namespace yardhill::model
