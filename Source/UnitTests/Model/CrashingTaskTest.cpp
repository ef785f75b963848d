// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// A task that crashes every worker it starts on must be given up. Without a count of such crashes
// it was started again for as long as the cell was watched: a task that crashed its worker 10 ms
// after its start took some 30 of 48 workers in 100 s, with everything that ran there. An attempt
// counted only when a worker listed its end as failed, and a crashed worker lists nothing. Where a
// step may run in copies, the next worker was lost 0.4 s later, before the previous crash was
// known. A new owner did not know the crashes that its predecessor had observed: such a task had
// runs 1 to 3 under one owner and dozens of runs under the next one.

#include <cstdlib>

#include <boost/test/unit_test.hpp>

#include "Common/EventLog.h"
#include "Model/ExploredCell.h"

using namespace yardhill;
using namespace yardhill::model;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr std::uint64_t k_seed_count = 4;
constexpr milliseconds k_crash_delay{10};
// Jobs that crash nothing are submitted for k_submission_period; the rest of k_observation_time is
// for the jobs that have not ended by then.
constexpr seconds k_submission_period{12};
constexpr seconds k_observation_time{50};
constexpr seconds k_query_time{3};

jobs::step_spec step_of(std::uint32_t count)
{
  jobs::step_spec step;
  step.count = count;
  step.demand.cpu_millis = 500;
  step.demand.memory_mib = 100;
  step.estimate = milliseconds{900};
  return step;
}

struct crashing_task_scenario
{
  explicit crashing_task_scenario(std::uint64_t seed) : cell(seed)
  {
    if (std::getenv("YARDHILL_LOG") != nullptr)
      common::open_event_log("crashing-" + std::to_string(seed));
    run_for(seconds{3});
  }

  void run_for(duration span) { cell.time().run_until(cell.time().now() + span); }

  void submit(const std::vector<jobs::step_spec>& steps, duration after = k_crash_delay)
  {
    jobs::job_spec spec;
    spec.payload = "payload";
    spec.steps = steps;
    m_crashing_job_ids.push_back(cell.callers().submit_crashing(spec, after));
  }

  void replace_owner_every(duration period)
  {
    cell.time().schedule(period,
                         [this, period]
                         {
                           if (cell.time().now() < m_owner_replacement_end)
                             replace_owner_every(period);
                           replace_owner();
                         });
  }

  // Submits other jobs, runs until every job should have ended, and checks the result.
  void finish()
  {
    cell.callers().submit_jobs_until(cell.time().now() + k_submission_period);
    run_for(k_observation_time);
    cell.callers().query_all();
    run_for(k_query_time);
    cell.judge().check_all_ended(cell.callers().states());
    BOOST_TEST(cell.judge().violations().empty(), violation_text());
    for (const std::string& id : m_crashing_job_ids)
      BOOST_TEST((cell.callers().states().at(id) == jobs::job_state::failed),
                 id << violation_text());
  }

  std::string violation_text()
  {
    std::string text;
    for (const std::string& each : cell.judge().violations())
      text += "\n  " + each;
    return text;
  }

  explored_cell cell;

private:
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

  time_point m_owner_replacement_end = cell.time().now() + seconds{25};
  std::vector<std::string> m_crashing_job_ids;
};

void run_scenarios(const std::vector<jobs::step_spec>& steps, duration after = k_crash_delay)
{
  for (std::uint64_t seed = 1; seed <= k_seed_count; ++seed)
  {
    crashing_task_scenario scenario(seed);
    scenario.submit(steps, after);
    scenario.finish();
  }
}
} // namespace

BOOST_AUTO_TEST_SUITE(CrashingTaskTest)

BOOST_AUTO_TEST_CASE(a_crashing_job_fails_and_other_jobs_complete)
{
  run_scenarios({step_of(1)});
  run_scenarios({step_of(6)});
}

BOOST_AUTO_TEST_CASE(crashes_under_copies_are_counted)
{
  jobs::step_spec step = step_of(3);
  step.speculative = true;
  run_scenarios({step});
}

BOOST_AUTO_TEST_CASE(a_crashing_gang_member_fails_its_job)
{
  jobs::step_spec step = step_of(4);
  step.gang = true;
  run_scenarios({step});
}

BOOST_AUTO_TEST_CASE(a_crashing_long_running_task_fails_its_job)
{
  jobs::step_spec step = step_of(3);
  step.long_running = true;
  run_scenarios({step});
}

BOOST_AUTO_TEST_CASE(dependent_steps_end_with_the_crashing_job)
{
  jobs::step_spec last = step_of(2);
  last.depends_on = {0};
  run_scenarios({step_of(2), last});
}

BOOST_AUTO_TEST_CASE(a_task_that_crashes_after_seconds_fails_its_job)
{
  jobs::step_spec step = step_of(2);
  step.estimate = seconds{5};
  step.long_running = true; // otherwise the task ends before it crashes its worker
  run_scenarios({step}, seconds{3});
}

BOOST_AUTO_TEST_CASE(several_crashing_jobs_are_distinguished_from_other_jobs)
{
  for (std::uint64_t seed = 1; seed <= k_seed_count; ++seed)
  {
    crashing_task_scenario scenario(seed);
    for (int i = 0; i < 4; ++i)
      scenario.submit({step_of(2)});
    scenario.finish();
  }
}

BOOST_AUTO_TEST_CASE(each_owner_continues_its_predecessors_crash_count)
{
  for (const milliseconds period : {milliseconds{2000}, milliseconds{3500}, milliseconds{5000}})
  {
    for (std::uint64_t seed = 1; seed <= k_seed_count; ++seed)
    {
      crashing_task_scenario scenario(seed);
      scenario.submit({step_of(2)});
      scenario.replace_owner_every(period);
      scenario.finish();
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
