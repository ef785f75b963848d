// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// An owner is isolated from the store and all other instances. It still reaches its workers, which
// the other instances do not, and may send them requests until its authority expires. The next
// owner's process is killed soon after its takeover and starts again. It takes the partition over
// again at once, since its previous process sends no more requests; but the isolated owner before
// it still does, and the restarted owner has to wait for that one.

#include <set>
#include <string>

#include <boost/test/unit_test.hpp>

#include "Model/ExploredCell.h"

using namespace yardhill;
using model::explored_cell;
using model::explored_instance;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr std::uint32_t k_tasks = 8;

// A cell with one job of long-running tasks.
struct isolated_owner_cell
{
  explicit isolated_owner_cell(std::uint64_t seed) : cell(seed)
  {
    run_for(seconds{3});
    jobs::step_spec step;
    step.count = k_tasks;
    step.demand.cpu_millis = 1000;
    step.demand.memory_mib = 100;
    step.estimate = milliseconds{900};
    step.long_running = true;
    jobs::job_spec spec;
    spec.payload = "payload";
    spec.steps.push_back(step);
    cell.callers().hand_in(spec);
    run_for(seconds{3});
    BOOST_TEST_REQUIRE(cell.judge().active_runs() > 0U);
  }

  void run_for(milliseconds span) { cell.time().run_until(cell.time().now() + span); }

  explored_instance* owner(const explored_instance* excluded)
  {
    for (explored_instance& each : cell.instances())
    {
      if (&each != excluded && each.up() && each.core->owns_any())
        return &each;
    }
    return nullptr;
  }

  // Isolates `which` together with the busy workers: these reach each other and nobody else.
  void isolate_with_its_workers(explored_instance& which)
  {
    auto& cuts = cell.network().troubles.cuts;
    cuts.insert({which.name, "store"});
    const std::set<std::string> busy = cell.judge().busy_workers();
    for (explored_instance& other : cell.instances())
    {
      if (&other == &which)
        continue;
      cuts.insert({which.name, other.name});
      cell.link(which, other, false);
      for (const model::fleet_worker& each : cell.workers())
      {
        if (busy.contains(each.settings.life))
          cuts.insert({other.name, each.machine});
      }
    }
  }

  explored_cell cell;
};
} // namespace

BOOST_AUTO_TEST_SUITE(OwnerStartedAnewTest)

BOOST_AUTO_TEST_CASE(a_restarted_owner_waits_for_the_owner_before_its_previous_process)
{
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U, 5U, 6U})
  {
    isolated_owner_cell scenario(seed);
    explored_instance* const first = scenario.owner(nullptr);
    BOOST_TEST_REQUIRE(first != nullptr);
    scenario.isolate_with_its_workers(*first);
    explored_instance* next = nullptr;
    for (int i = 0; i < 60 && next == nullptr; ++i)
    {
      scenario.run_for(milliseconds{50});
      next = scenario.owner(first);
    }
    BOOST_TEST_REQUIRE(next != nullptr);
    scenario.cell.end_instance(*next);
    scenario.run_for(milliseconds{100});
    scenario.cell.start_instance(*next);
    scenario.run_for(seconds{1});
    BOOST_TEST_REQUIRE(scenario.owner(first) == next);
    scenario.run_for(seconds{14});
    for (const std::string& each : scenario.cell.judge().violations())
      BOOST_ERROR("seed " << seed << ": " << each);
  }
}

BOOST_AUTO_TEST_SUITE_END()
