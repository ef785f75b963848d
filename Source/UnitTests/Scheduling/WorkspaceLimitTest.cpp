// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Limits of workspaces: what may run of one workspace over all workers, whatever is known of it.

#include <map>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "Scheduling/SchedulerHarness.h"

using namespace yardhill;
using namespace yardhill::scheduling;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr const char* k_limited = "handbooks";
constexpr const char* k_other = "manuals";

std::map<std::string, jobs::workspace> limited_to(std::int64_t cpu_millis,
                                                  std::int64_t memory_mib = 0)
{
  jobs::workspace limited{k_limited, 1.0, {}};
  limited.max_running.cpu_millis = cpu_millis;
  limited.max_running.memory_mib = memory_mib;
  return {{k_limited, limited}, {k_other, {k_other, 1.0, {}}}};
}

jobs::accepted_job job_of(const std::string& workspace, const std::string& id,
                          const jobs::step_spec& step)
{
  jobs::accepted_job job = scheduler_harness::job(id, {step});
  job.workspace = workspace;
  return job;
}

// One worker of 16 cores, and a workspace that may use four.
struct limited_workspace : scheduler_harness
{
  limited_workspace()
  {
    add_worker(worker("w1"));
    scheduler->set_workspaces(limited_to(4000));
  }

  void hand_in(const std::string& id, const jobs::step_spec& step,
               const std::string& workspace = k_limited)
  {
    scheduler->add_job(job_of(workspace, id, step), now);
    settle();
  }

  void settle()
  {
    step();
    commit_and_step();
    step();
  }

  std::size_t started(const std::string& id) const
  {
    std::size_t count = 0;
    for (const start_command& each : starts)
      count += each.task.job == id ? 1 : 0;
    return count;
  }

  // Ends the first `count` started tasks as done.
  void end_first(std::size_t count)
  {
    std::vector<listed_run> running_now;
    std::vector<listed_end> ended_now;
    for (std::size_t i = 0; i < starts.size(); ++i)
    {
      answer_start(starts[i], call_end::done);
      if (i < count)
        ended_now.push_back(ended(i + 1, starts[i], run_outcome::done));
      else
        running_now.push_back(running(starts[i]));
    }
    pass(milliseconds{100});
    answer_hold("w1", running_now, ended_now);
    settle();
  }
};

// A takeover in a cell whose worker w1 an earlier owner had claimed. The limited workspace may use
// one core.
struct limited_takeover : takeover_harness
{
  static constexpr const char* k_unlimited_job = "0123456789abcde1";
  const std::vector<std::string> expected{k_unlimited_job};

  limited_takeover()
  {
    scheduler->set_workspaces(limited_to(1000));
    worker_claim claim;
    claim.zone = "zone";
    claim.address = worker("w1").address;
    restore_claim("w1", claim);
  }

  // Adds another worker and a job of each workspace. Returns the jobs that start.
  std::vector<std::string> started_on_another_worker()
  {
    add_worker(worker("w2"));
    scheduler->add_job(job_of(k_limited, k_other_job, step_of(1)), now);
    scheduler->add_job(job_of(k_other, k_unlimited_job, step_of(1)), now);
    step();
    commit_and_step();
    step();
    std::vector<std::string> started;
    for (const start_command& each : starts)
      started.push_back(each.task.job);
    return started;
  }
};

struct advised_workspace : limited_workspace
{
  advised_workspace()
  {
    jobs::queue_policy policy;
    policy.advice = {milliseconds{10}, milliseconds{1}, milliseconds{2000}};
    set_policy(policy);
    scheduler->set_advice_slots({4, 4});
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(WorkspaceLimitTest)

BOOST_FIXTURE_TEST_CASE(a_step_wider_than_the_limit_runs_in_waves, limited_workspace)
{
  hand_in(k_job, step_of(6));
  BOOST_TEST(started(k_job) == 4U);
  end_first(2);
  BOOST_TEST(started(k_job) == 6U);
}

BOOST_FIXTURE_TEST_CASE(the_limit_holds_over_all_jobs_of_the_workspace, limited_workspace)
{
  hand_in(k_job, step_of(3));
  hand_in(k_other_job, step_of(3));
  BOOST_TEST(started(k_job) + started(k_other_job) == 4U);
}

BOOST_FIXTURE_TEST_CASE(other_workspaces_are_not_held_back, limited_workspace)
{
  hand_in(k_job, step_of(6));
  hand_in(k_other_job, step_of(6), k_other);
  BOOST_TEST(started(k_other_job) == 6U);
}

BOOST_FIXTURE_TEST_CASE(each_resource_has_its_own_limit, limited_workspace)
{
  scheduler->set_workspaces(limited_to(0, 250));
  hand_in(k_job, step_of(6));
  BOOST_TEST(started(k_job) == 2U);
}

BOOST_FIXTURE_TEST_CASE(a_start_without_an_answer_counts, limited_workspace)
{
  hand_in(k_job, step_of(6));
  for (const start_command& each : std::vector(starts))
    answer_start(each, call_end::unanswered);
  starts.clear();
  hand_in(k_other_job, step_of(1));
  BOOST_TEST(started(k_other_job) == 0U);
}

BOOST_FIXTURE_TEST_CASE(runs_on_a_silent_worker_count_until_their_lease_ends, limited_workspace)
{
  hand_in(k_job, step_of(4));
  for (const start_command& each : starts)
    answer_start(each, call_end::done);
  add_worker(worker("w2"));
  fail_hold("w1", call_end::unanswered);
  hand_in(k_other_job, step_of(1));
  BOOST_TEST(started(k_other_job) == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_run_that_is_being_stopped_counts, limited_workspace)
{
  hand_in(k_job, step_of(4));
  for (const start_command& each : starts)
    answer_start(each, call_end::done);
  scheduler->cancel_job(k_job, now);
  hand_in(k_other_job, step_of(1));
  BOOST_TEST(started(k_other_job) == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_gang_starts_only_as_a_whole, limited_workspace)
{
  hand_in(k_other_job, step_of(2));
  jobs::step_spec gang = step_of(3);
  gang.gang = true;
  hand_in(k_job, gang);
  BOOST_TEST(started(k_job) == 0U);
  end_first(2);
  BOOST_TEST(started(k_job) == 3U);
}

BOOST_FIXTURE_TEST_CASE(a_lower_limit_stops_nothing_and_starts_nothing, limited_workspace)
{
  hand_in(k_job, step_of(6));
  scheduler->set_workspaces(limited_to(2000));
  end_first(2);
  BOOST_TEST(stops.empty());
  BOOST_TEST(started(k_job) == 4U);
  scheduler->set_workspaces(limited_to(4000));
  settle();
  BOOST_TEST(started(k_job) == 6U);
}

// The limit was lowered after the job had been accepted.
BOOST_FIXTURE_TEST_CASE(tasks_larger_than_the_limit_run_one_at_a_time, limited_workspace)
{
  scheduler->set_workspaces(limited_to(500));
  hand_in(k_job, step_of(3));
  BOOST_TEST(started(k_job) == 1U);
  end_first(1);
  BOOST_TEST(started(k_job) == 2U);
}

BOOST_FIXTURE_TEST_CASE(no_advice_is_requested_for_a_workspace_at_its_limit, advised_workspace)
{
  scheduler->set_workspaces(limited_to(1000));
  hand_in(k_job, step_of(1));
  BOOST_TEST_REQUIRE(questions.size() == 1U);
  scheduler->advice_answered({questions.front().step,
                              questions.front().workers,
                              true,
                              {{worker_id("w1"), "ticket"}},
                              milliseconds{2000},
                              now},
                             now);
  settle();
  BOOST_TEST_REQUIRE(started(k_job) == 1U);
  questions.clear();
  hand_in(k_other_job, step_of(1));
  pass(seconds{3});
  settle();
  BOOST_TEST(questions.empty());
}

// An earlier owner may have started the tasks on a worker that has not been heard yet.
BOOST_FIXTURE_TEST_CASE(tasks_that_an_earlier_owner_may_have_started_count, limited_takeover)
{
  scheduler->restore_job(job_of(k_limited, k_job, step_of(1)), begun(), now);
  begin();
  BOOST_TEST(started_on_another_worker() == expected, boost::test_tools::per_element());
}

// The job is no longer in the rows of open jobs, but the worker has not stopped its task yet.
BOOST_FIXTURE_TEST_CASE(runs_of_jobs_that_had_ended_under_an_earlier_owner_count, limited_takeover)
{
  scheduler->restore_ended_job(job_of(k_limited, k_job, step_of(1)));
  begin();
  step();
  answer_hold("w1", {earlier_run()});
  BOOST_TEST(started_on_another_worker() == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(the_parts_of_all_partitions_add_up_to_the_limit)
{
  std::int64_t sum = 0;
  for (std::uint32_t i = 0; i < 4; ++i)
  {
    workspace_usage usage({i, 4});
    usage.configure(limited_to(4003));
    sum += usage.account(k_limited).limit.cpu_millis;
  }
  BOOST_TEST(sum <= 4003);
  BOOST_TEST(sum >= 4000);
}

BOOST_AUTO_TEST_SUITE_END()
