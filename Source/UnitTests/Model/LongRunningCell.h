// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// A cell in virtual time with one job whose tasks last; the workers that carry them can be lost.

#include <boost/test/unit_test.hpp>

#include "Model/ExploredCell.h"

namespace yardhill::model
{
using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr std::uint32_t k_lasting_tasks = 6;

struct long_running_cell
{
  explicit long_running_cell(std::uint64_t seed,
                             std::optional<processor_costs> costs = std::nullopt)
      : cell(seed, 1, costs)
  {
    pass(seconds{3});
    jobs::step_spec step;
    step.count = k_lasting_tasks;
    step.demand.cpu_millis = 1000;
    step.demand.memory_mib = 100;
    step.estimate = milliseconds{900};
    step.long_running = true;
    jobs::job_spec spec;
    spec.payload = "payload";
    spec.steps.push_back(step);
    cell.callers().hand_in(spec);
    pass(seconds{3});
    BOOST_TEST_REQUIRE(cell.judge().active_runs() == k_lasting_tasks);
  }

  void pass(milliseconds span) { cell.time().run_until(cell.time().now() + span); }

  // No more than this many: others have to have room.
  void crash_busy_workers(std::size_t most)
  {
    const std::set<std::string> busy = cell.judge().busy_workers();
    for (fleet_worker& each : cell.workers())
    {
      if (most == 0 || !busy.contains(each.settings.life))
        continue;
      --most;
      worker_fleet::end_life(each);
      cell.time().schedule(milliseconds{4500}, [this, &each] { cell.fleet().remove_entry(each); });
    }
    BOOST_TEST_REQUIRE(cell.judge().active_runs() < k_lasting_tasks);
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

  // Its process is killed and starts again after half a second.
  void replace_owner()
  {
    explored_instance& killed = owner();
    cell.end_instance(killed);
    cell.time().schedule(milliseconds{500}, [this, &killed] { cell.start_instance(killed); });
  }

  std::size_t running() { return cell.judge().active_runs(); }

  explored_cell cell;
};
} // namespace yardhill::model
