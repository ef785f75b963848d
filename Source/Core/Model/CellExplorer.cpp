// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Model/CellExplorer.h"

#include <optional>
#include <utility>

#include "Common/EventLog.h"
#include "Common/SimulationLog.h"
#include "Model/CancelJudge.h"
#include "Model/CellFaults.h"
#include "Model/CountJudge.h"
#include "Model/ExploredCell.h"
#include "Model/KeyJudge.h"

namespace yardhill::model
{
namespace
{
using std::chrono::seconds;

// Jobs are submitted until the faults are over; the remaining time is for unfinished jobs to end.
constexpr seconds k_first_job{1};
constexpr seconds k_fault_period{20};
constexpr seconds k_run_length{60};
// A job that is still running after k_run_length is not lost: the platform counts a job as lost if
// nothing of it runs for 3 s.
constexpr seconds k_overtime{15};
constexpr seconds k_nothing_runs{3};
// How often long-running tasks and, at the end, remaining runs are checked.
constexpr std::chrono::milliseconds k_check_period{100};
// Jobs that need scarce advice are still submitted when the cell is calm again.
constexpr seconds k_scarce_period{45};
// Added to the seed for the random numbers of the jobs that need scarce advice.
constexpr std::uint64_t k_scarce_seed = 3;
// Time for the answers to the final state queries.
constexpr seconds k_final_queries{3};

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

// Makes the event log record the cell's virtual time for the lifetime of this object.
class logged_time
{
public:
  explicit logged_time(explored_cell& cell)
  {
    common::set_simulation_clock(
        [&cell]
        {
          return std::chrono::duration_cast<std::chrono::milliseconds>(cell.time().now() -
                                                                       cell.begin());
        });
  }
  ~logged_time()
  {
    common::flush_event_log();
    common::set_simulation_clock(nullptr);
  }
  logged_time(const logged_time&) = delete;
  logged_time& operator=(const logged_time&) = delete;
};

void finish_work(explored_cell& cell)
{
  const time_point latest = cell.begin() + k_run_length + k_overtime;
  time_point idle_since = cell.time().now();
  while (cell.time().now() < latest && cell.time().now() - idle_since < k_nothing_runs)
  {
    cell.time().run_until(cell.time().now() + k_check_period);
    if (cell.judge().has_finite_runs())
      idle_since = cell.time().now();
  }
}

void watch_long_running(explored_cell& cell, const cell_faults& faults)
{
  cell.judge().check_long_running(usable_workers(cell), cell.time().now(),
                                  faults.disturbed_until());
  cell.time().schedule(k_check_period, [&cell, &faults] { watch_long_running(cell, faults); });
}
} // namespace

exploration explore_cell(std::uint64_t seed, omission without, restarts how, std::size_t partitions,
                         workspaces callers, advice_load advice)
{
  explored_cell cell(seed, partitions);
  if (callers == workspaces::changing)
    cell.add_workspaces(seed, without != omission::limits_omitted,
                        without != omission::keys_omitted);
  if (advice == advice_load::scarce)
    cell.make_advice_scarce(without != omission::usable_tickets_omitted);
  const logged_time logged(cell);
  cell_faults faults(cell, without);
  cell.time().schedule(k_first_job,
                       [&cell]
                       {
                         cell.callers().submit_long_running();
                         cell.callers().submit_jobs_until(cell.begin() + k_fault_period);
                       });
  if (advice == advice_load::scarce)
    cell.time().schedule(
        k_first_job, [&cell, seed]
        { cell.callers().submit_scarce(seed + k_scarce_seed, cell.begin() + k_scarce_period); });
  watch_long_running(cell, faults);
  const count_judge counts(cell, cell.begin() + k_run_length);
  const cancel_judge cancelled(cell, cell.begin() + k_run_length);
  std::optional<key_judge> keys;
  if (callers == workspaces::changing)
  {
    keys.emplace(cell, cell.begin() + k_run_length);
    faults.draw_workspace_changes(seed);
  }
  faults.draw();
  if (how == restarts::same_id)
    faults.draw_restarts(seed);
  cell.time().run_until(cell.begin() + k_run_length);
  finish_work(cell);
  cell.callers().query_all();
  cell.time().run_until(cell.time().now() + k_final_queries);
  cell.judge().check_all_ended(cell.callers().states());
  std::vector<std::string> violations = cell.judge().violations();
  violations.insert(violations.end(), counts.violations().begin(), counts.violations().end());
  exploration result{std::move(violations), faults.descriptions(), cell.judge().accepted_jobs(),
                     cell.judge().starts(), counts.counted(),      counts.unknown()};
  if (keys)
  {
    result.violations.insert(result.violations.end(), keys->violations().begin(),
                             keys->violations().end());
    result.keys_served = keys->served();
    result.keys_refused = keys->refused();
  }
  return result;
}
} // namespace yardhill::model
