// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Workers crashed and started again seconds later under the same ids. Tasks that had ended there as
// done were started again half a second later, and long-running tasks did not run for 10 s and
// more, although there was free capacity for all of them. The owner keyed what it knew of a worker
// by the id alone. A new incarnation numbers its ends from 1, so the owner skipped them as already
// read and acknowledged them. Its clock restarts as well, so the owner dropped its lists as
// outdated until that clock showed more than the previous incarnation's last list. Start requests
// that had been answered were then missing from the lists without an end, and lists were accepted
// again only when the new incarnation was as old as the previous one had been.

#include <cstdlib>

#include <boost/test/unit_test.hpp>

#include "Common/EventLog.h"
#include "UnitTests/Model/LongRunningCell.h"

using namespace yardhill;
using namespace yardhill::model;

namespace
{
constexpr std::uint64_t k_seed_count = 6;
constexpr seconds k_submission_period{20};
constexpr seconds k_observation_time{50};
constexpr seconds k_query_time{3};

// A cell whose workers keep their ids when they restart.
struct restarted_cell
{
  explicit restarted_cell(std::uint64_t seed, milliseconds initial_clock) : cell(seed)
  {
    if (std::getenv("YARDHILL_LOG") != nullptr)
      common::open_event_log("restarted-" + std::to_string(seed));
    cell.fleet().set_incarnation_planner(
        [initial_clock] {
          return incarnation_plan{true, initial_clock, {}};
        });
    run_for(seconds{3});
  }

  void run_for(duration span) { cell.time().run_until(cell.time().now() + span); }

  // Crashes two of every three workers; each starts again after `downtime`.
  void restart_workers(milliseconds downtime)
  {
    for (std::size_t i = 0; i < cell.workers().size(); ++i)
    {
      fleet_worker& each = cell.workers()[i];
      if (i % 3 == 2 || !each.model)
        continue;
      cell.judge().worker_crashed(each.settings.life);
      worker_fleet::end_life(each);
      cell.time().schedule(downtime, [this, &each] { cell.start_worker(each); });
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
    run_for(k_observation_time);
    cell.callers().query_all();
    run_for(k_query_time);
    cell.judge().check_all_ended(cell.callers().states());
    std::string violation_text;
    for (const std::string& each : cell.judge().violations())
      violation_text += "\n  " + each;
    BOOST_TEST(cell.judge().violations().empty(), violation_text);
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

std::string submit_long_running_job(restarted_cell& scenario)
{
  jobs::step_spec step = step_of(k_long_running_tasks);
  step.long_running = true;
  jobs::job_spec spec;
  spec.payload = "payload";
  spec.steps.push_back(step);
  return scenario.cell.callers().hand_in(spec);
}
} // namespace

BOOST_AUTO_TEST_SUITE(RestartedWorkerTest)

// The new incarnation's clock is ahead of the previous one's, so its lists are accepted at once.
BOOST_AUTO_TEST_CASE(ends_reported_by_a_new_incarnation_are_read)
{
  for (std::uint64_t seed = 1; seed <= k_seed_count; ++seed)
  {
    restarted_cell scenario(seed, std::chrono::hours{2});
    scenario.cell.callers().submit_jobs_until(scenario.cell.time().now() + k_submission_period);
    for (int i = 0; i < 3; ++i)
    {
      scenario.run_for(seconds{5});
      scenario.restart_workers(milliseconds{700});
    }
    scenario.check_at_end();
  }
}

BOOST_AUTO_TEST_CASE(long_running_tasks_run_again_although_the_clock_restarts)
{
  for (std::uint64_t seed = 1; seed <= k_seed_count; ++seed)
  {
    restarted_cell scenario(seed, milliseconds{0});
    submit_long_running_job(scenario);
    scenario.run_for(seconds{12});
    scenario.restart_workers(milliseconds{700});
    scenario.run_for(milliseconds{700} + seconds{3});
    BOOST_TEST(scenario.cell.judge().active_runs() == k_long_running_tasks, "seed " << seed);
    BOOST_TEST(scenario.cell.judge().violations().empty());
  }
}

BOOST_AUTO_TEST_CASE(a_new_owner_knows_that_the_claimed_incarnation_has_ended)
{
  for (std::uint64_t seed = 1; seed <= k_seed_count; ++seed)
  {
    for (const milliseconds takeover_delay :
         {milliseconds{300}, milliseconds{900}, milliseconds{1500}})
    {
      restarted_cell scenario(seed, milliseconds{0});
      submit_long_running_job(scenario);
      scenario.cell.callers().submit_jobs_until(scenario.cell.time().now() + k_submission_period);
      scenario.run_for(seconds{8});
      scenario.restart_workers(milliseconds{700});
      scenario.run_for(takeover_delay);
      scenario.replace_owner();
      scenario.check_at_end();
    }
  }
}

BOOST_AUTO_TEST_CASE(crashes_are_counted_when_workers_keep_their_ids)
{
  for (std::uint64_t seed = 1; seed <= k_seed_count; ++seed)
  {
    restarted_cell scenario(seed, milliseconds{0});
    jobs::job_spec spec;
    spec.payload = "payload";
    spec.steps = {step_of(3)};
    const std::string id = scenario.cell.callers().submit_crashing(spec, milliseconds{10});
    scenario.cell.callers().submit_jobs_until(scenario.cell.time().now() + k_submission_period);
    scenario.check_at_end();
    BOOST_TEST((scenario.cell.callers().states().at(id) == jobs::job_state::failed), id);
  }
}

// Requests that were sent to the previous incarnation are delivered to the next one seconds later.
BOOST_AUTO_TEST_CASE(late_requests_to_the_previous_incarnation_change_nothing)
{
  for (std::uint64_t seed = 1; seed <= k_seed_count; ++seed)
  {
    restarted_cell scenario(seed, milliseconds{0});
    scenario.cell.callers().submit_jobs_until(scenario.cell.time().now() + k_submission_period);
    scenario.run_for(seconds{3});
    scenario.cell.network().troubles.delayed_worker_call_share = 0.2;
    scenario.run_for(seconds{3});
    scenario.restart_workers(milliseconds{700});
    scenario.run_for(seconds{2});
    scenario.cell.network().troubles.delayed_worker_call_share = 0.0;
    scenario.check_at_end();
  }
}

BOOST_AUTO_TEST_SUITE_END()
