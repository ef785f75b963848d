// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Workers crashed and started again seconds later under the ids that they had. Tasks that ended
// there as done were started again half a second later, and tasks that were to last did not run for
// ten seconds and more, with room for them all the time. An owner kept what it knew of a worker by
// its id. The new life numbers its ends from 1, so they were skipped as read, and acknowledged; its
// clock begins anew, so its lists were dropped as overtaken until it showed more than the old one.
// What proved it: starts that had been answered were missing from lists without an end, and lists
// were taken in again only when the new life was as old as the one before had been.

#include <cstdlib>

#include <boost/test/unit_test.hpp>

#include "Common/EventLog.h"
#include "UnitTests/Model/LastingCell.h"

using namespace yardhill;
using namespace yardhill::model;

namespace
{
constexpr std::uint64_t k_seeds = 6;
constexpr seconds k_jobs_come{20};
constexpr seconds k_play{50};
constexpr seconds k_answers{3};

// A cell whose workers keep their ids.
struct restarted_cell
{
  explicit restarted_cell(std::uint64_t seed, milliseconds first_clock) : cell(seed)
  {
    if (std::getenv("YARDHILL_LOG") != nullptr)
      common::open_event_log("restarted-" + std::to_string(seed));
    cell.fleet().set_incarnation_planner(
        [first_clock] {
          return incarnation_plan{true, first_clock, {}};
        });
    pass(seconds{3});
  }

  void pass(duration span) { cell.time().run_until(cell.time().now() + span); }

  // Every third worker or more, for so long.
  void restart_workers(milliseconds down)
  {
    for (std::size_t i = 0; i < cell.workers().size(); ++i)
    {
      fleet_worker& each = cell.workers()[i];
      if (i % 3 == 2 || !each.model)
        continue;
      cell.judge().worker_crashed(each.settings.life);
      worker_fleet::end_life(each);
      cell.time().schedule(down, [this, &each] { cell.start_worker(each); });
    }
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
  }

  void check_at_end()
  {
    pass(k_play);
    cell.callers().query_all();
    pass(k_answers);
    cell.judge().check_all_ended(cell.callers().states());
    std::string told;
    for (const std::string& each : cell.judge().violations())
      told += "\n  " + each;
    BOOST_TEST(cell.judge().violations().empty(), told);
  }

  explored_cell cell;
};

jobs::step_spec step_of(std::uint32_t count)
{
  jobs::step_spec step;
  step.count = count;
  step.demand.cpu_millis = 500;
  step.demand.memory_mib = 100;
  step.estimate = milliseconds{900};
  return step;
}

std::string submit_long_running(restarted_cell& play)
{
  jobs::step_spec step = step_of(k_lasting_tasks);
  step.long_running = true;
  jobs::job_spec spec;
  spec.payload = "payload";
  spec.steps.push_back(step);
  return play.cell.callers().hand_in(spec);
}
} // namespace

BOOST_AUTO_TEST_SUITE(RestartedWorkerTest)

// The new life's clock is ahead of the old one's, so its lists are taken in at once.
BOOST_AUTO_TEST_CASE(ends_of_the_new_life_are_read)
{
  for (std::uint64_t seed = 1; seed <= k_seeds; ++seed)
  {
    restarted_cell play(seed, std::chrono::hours{2});
    play.cell.callers().submit_jobs_until(play.cell.time().now() + k_jobs_come);
    for (int i = 0; i < 3; ++i)
    {
      play.pass(seconds{5});
      play.restart_workers(milliseconds{700});
    }
    play.check_at_end();
  }
}

BOOST_AUTO_TEST_CASE(tasks_that_last_run_again_although_the_clock_begins_anew)
{
  for (std::uint64_t seed = 1; seed <= k_seeds; ++seed)
  {
    restarted_cell play(seed, milliseconds{0});
    submit_long_running(play);
    play.pass(seconds{12});
    play.restart_workers(milliseconds{700});
    play.pass(milliseconds{700} + seconds{3});
    BOOST_TEST(play.cell.judge().active_runs() == k_lasting_tasks, "seed " << seed);
    BOOST_TEST(play.cell.judge().violations().empty());
  }
}

BOOST_AUTO_TEST_CASE(a_new_owner_knows_that_the_claimed_life_has_ended)
{
  for (std::uint64_t seed = 1; seed <= k_seeds; ++seed)
  {
    for (const milliseconds after : {milliseconds{300}, milliseconds{900}, milliseconds{1500}})
    {
      restarted_cell play(seed, milliseconds{0});
      submit_long_running(play);
      play.cell.callers().submit_jobs_until(play.cell.time().now() + k_jobs_come);
      play.pass(seconds{8});
      play.restart_workers(milliseconds{700});
      play.pass(after);
      play.replace_owner();
      play.check_at_end();
    }
  }
}

BOOST_AUTO_TEST_CASE(crashes_are_counted_when_the_id_stays)
{
  for (std::uint64_t seed = 1; seed <= k_seeds; ++seed)
  {
    restarted_cell play(seed, milliseconds{0});
    jobs::job_spec spec;
    spec.payload = "payload";
    spec.steps = {step_of(3)};
    const std::string id = play.cell.callers().submit_crashing(spec, milliseconds{10});
    play.cell.callers().submit_jobs_until(play.cell.time().now() + k_jobs_come);
    play.check_at_end();
    BOOST_TEST((play.cell.callers().states().at(id) == jobs::job_state::failed), id);
  }
}

// What was sent to the life before, the one after it carries out seconds later.
BOOST_AUTO_TEST_CASE(late_orders_to_the_life_before_change_nothing)
{
  for (std::uint64_t seed = 1; seed <= k_seeds; ++seed)
  {
    restarted_cell play(seed, milliseconds{0});
    play.cell.callers().submit_jobs_until(play.cell.time().now() + k_jobs_come);
    play.pass(seconds{3});
    play.cell.network().troubles.delayed_worker_call_share = 0.2;
    play.pass(seconds{3});
    play.restart_workers(milliseconds{700});
    play.pass(seconds{2});
    play.cell.network().troubles.delayed_worker_call_share = 0.0;
    play.check_at_end();
  }
}

BOOST_AUTO_TEST_SUITE_END()
