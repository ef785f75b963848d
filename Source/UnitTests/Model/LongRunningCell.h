// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// A cell in virtual time with one job of long-running tasks. The workers that run the tasks can be
// lost, and the partition's owner can be replaced.

#include <boost/test/unit_test.hpp>

#include "Model/ExploredCell.h"

namespace yardhill::model
{
using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr std::uint32_t k_long_running_tasks = 6;

struct long_running_cell
{
  explicit long_running_cell(std::uint64_t seed,
                             std::optional<processor_costs> costs = std::nullopt)
      : cell(seed, 1, costs)
  {
    run_for(seconds{3});
    jobs::step_spec step;
    step.count = k_long_running_tasks;
    step.demand.cpu_millis = 1000;
    step.demand.memory_mib = 100;
    step.estimate = milliseconds{900};
    step.long_running = true;
    jobs::job_spec spec;
    spec.payload = "payload";
    spec.steps.push_back(step);
    cell.callers().hand_in(spec);
    run_for(seconds{3});
    BOOST_TEST_REQUIRE(cell.judge().active_runs() == k_long_running_tasks);
  }

  void run_for(milliseconds span) { cell.time().run_until(cell.time().now() + span); }

  // Ends at most `max_count` busy workers; the remaining ones need free capacity for the lost
  // tasks.
  void crash_busy_workers(std::size_t max_count)
  {
    const std::set<std::string> busy = cell.judge().busy_workers();
    for (fleet_worker& each : cell.workers())
    {
      if (max_count == 0 || !busy.contains(each.settings.life))
        continue;
      --max_count;
      worker_fleet::end_life(each);
      cell.time().schedule(milliseconds{4500}, [this, &each] { cell.fleet().remove_entry(each); });
    }
    BOOST_TEST_REQUIRE(cell.judge().active_runs() < k_long_running_tasks);
  }

  explored_instance& owner()
  {
    for (explored_instance& each : cell.instances())
    {
      if (each.up() && each.core->owns_any())
        return each;
    }
    BOOST_FAIL("no instance owns the partition");
    return cell.instances().front();
  }

  // Kills the owner's process and starts it again after half a second.
  void replace_owner()
  {
    explored_instance& replaced = owner();
    cell.end_instance(replaced);
    cell.time().schedule(milliseconds{500}, [this, &replaced] { cell.start_instance(replaced); });
  }

  std::size_t running() { return cell.judge().active_runs(); }

  explored_cell cell;
};
} // namespace yardhill::model
