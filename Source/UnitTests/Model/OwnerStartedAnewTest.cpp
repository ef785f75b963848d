// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// An owner is cut off from the store and all other instances, and reaches its workers, which the
// others do not. It may give orders for its authority yet. The next owner's process is killed soon
// after its takeover and starts again: it takes the partition once more at once, since its earlier
// process orders nothing any more. The owner before that one still does.

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

// A cell with one job whose tasks last.
struct split_cell
{
  explicit split_cell(std::uint64_t seed) : cell(seed)
  {
    pass(seconds{3});
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
    pass(seconds{3});
    BOOST_TEST_REQUIRE(cell.judge().active_runs() > 0U);
  }

  void pass(milliseconds span) { cell.time().run_until(cell.time().now() + span); }

  explored_instance* owner(const explored_instance* but)
  {
    for (explored_instance& each : cell.instances())
    {
      if (&each != but && each.up() && each.core->owns_any())
        return &each;
    }
    return nullptr;
  }

  // `which` and the busy workers reach each other and nobody else.
  void split_off(explored_instance& which)
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

BOOST_AUTO_TEST_CASE(an_owner_that_starts_anew_waits_for_the_one_before_its_earlier_process)
{
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U, 5U, 6U})
  {
    split_cell play(seed);
    explored_instance* const first = play.owner(nullptr);
    BOOST_TEST_REQUIRE(first != nullptr);
    play.split_off(*first);
    explored_instance* next = nullptr;
    for (int i = 0; i < 60 && next == nullptr; ++i)
    {
      play.pass(milliseconds{50});
      next = play.owner(first);
    }
    BOOST_TEST_REQUIRE(next != nullptr);
    play.cell.end_instance(*next);
    play.pass(milliseconds{100});
    play.cell.start_instance(*next);
    play.pass(seconds{1});
    BOOST_TEST_REQUIRE(play.owner(first) == next);
    play.pass(seconds{14});
    for (const std::string& each : play.cell.judge().violations())
      BOOST_ERROR("seed " << seed << ": " << each);
  }
}

BOOST_AUTO_TEST_SUITE_END()
