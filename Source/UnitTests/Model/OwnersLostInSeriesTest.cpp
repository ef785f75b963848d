// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Tasks that last lost their workers for good, and before their leases were over the partition's
// owner was replaced, and then once more. The tasks ran again 20 s and more after their loss, with
// room for them all the time, although no lease was longer than 7.8 s. Each owner counted the end
// of all earlier orders and leases from its predecessor's latest renewal; when the last lease on
// those very workers had been given was known to the first owner alone. What proved it: the second
// run began 12.5 s after the last takeover, whenever the loss had been.

#include <boost/test/unit_test.hpp>

#include "Model/ExploredCell.h"

using namespace yardhill;
using model::explored_cell;
using model::explored_instance;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr std::uint32_t k_tasks = 6;

// A cell with one job whose tasks last; the workers that carry them can be lost for good.
struct lasting_cell
{
  explicit lasting_cell(std::uint64_t seed) : cell(seed)
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
    BOOST_TEST_REQUIRE(cell.judge().active_runs() == k_tasks);
  }

  void pass(milliseconds span) { cell.time().run_until(cell.time().now() + span); }

  // No more than this many: others have to have room.
  void lose_busy_workers(std::size_t most)
  {
    const std::set<std::string> busy = cell.judge().busy_workers();
    for (model::fleet_worker& each : cell.workers())
    {
      if (most == 0 || !busy.contains(each.settings.id))
        continue;
      --most;
      model::worker_fleet::end_life(each);
      cell.time().schedule(milliseconds{4500}, [this, &each] { cell.fleet().remove_entry(each); });
    }
    BOOST_TEST_REQUIRE(cell.judge().active_runs() < k_tasks);
  }

  void replace_owner()
  {
    for (explored_instance& each : cell.instances())
    {
      if (!each.up() || !each.core->owns_any())
        continue;
      cell.end_instance(each);
      cell.time().schedule(milliseconds{500}, [this, &each] { cell.start_instance(each); });
      return;
    }
    BOOST_FAIL("no instance owns the partition");
  }

  explored_cell cell;
};
} // namespace

BOOST_AUTO_TEST_SUITE(OwnersLostInSeriesTest)

// The owner that was there at the loss lives long enough to see that the workers are silent.
BOOST_AUTO_TEST_CASE(tasks_run_again_when_the_last_lease_is_over_however_often_owners_change)
{
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U})
  {
    lasting_cell play(seed);
    play.lose_busy_workers(2);
    play.pass(milliseconds{3500});
    play.replace_owner();
    play.pass(milliseconds{3000});
    play.replace_owner();
    play.pass(milliseconds{4000}); // 10.5 s after the loss
    BOOST_TEST(play.cell.judge().active_runs() == k_tasks, "seed " << seed);
    BOOST_TEST(play.cell.judge().violations().empty());
  }
}

// The owner is lost with the workers. The next one has to wait for all that its predecessor may
// have ordered, and the one after that no longer than it.
BOOST_AUTO_TEST_CASE(a_later_owner_goes_on_with_the_wait_of_the_one_before)
{
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U})
  {
    lasting_cell play(seed);
    play.lose_busy_workers(2);
    play.replace_owner();
    for (unsigned i = 0; i < 3; ++i)
    {
      play.pass(milliseconds{4000});
      play.replace_owner();
    }
    play.pass(milliseconds{3000}); // 15 s after the loss
    BOOST_TEST(play.cell.judge().active_runs() == k_tasks, "seed " << seed);
    BOOST_TEST(play.cell.judge().violations().empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()
