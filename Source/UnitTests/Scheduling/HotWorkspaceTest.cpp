// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// One workspace sends many times its share: its further jobs wait behind those of workspaces that
// keep to theirs, whatever their priority, and run when nobody else waits.

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "Scheduling/SchedulerHarness.h"

using namespace yardhill;
using namespace yardhill::scheduling;
using std::chrono::milliseconds;

namespace
{
constexpr const char* k_hot = "handbooks";
constexpr const char* k_usual = "manuals";

// A worker for one task at a time, and workspaces with a share of two jobs a second each.
struct hot_workspace : scheduler_harness
{
  hot_workspace()
  {
    jobs::queue_policy policy;
    policy.latency_target = std::chrono::minutes{1}; // so that no job is late
    set_policy(policy);
    add_worker(worker("w1", 1000));
    scheduler->set_workspaces({{k_hot, {k_hot, 2.0, {}}}, {k_usual, {k_usual, 2.0, {}}}});
  }

  void hand_in(const std::string& workspace, const std::string& id)
  {
    jobs::accepted_job added = job(id, {step_of(1)});
    added.workspace = workspace;
    added.accepted_at =
        jobs::wall_time(std::chrono::duration_cast<milliseconds>(now.time_since_epoch()));
    scheduler->add_job(added, now);
  }

  // The jobs in the order in which their tasks start, each after the end of the one before.
  std::vector<std::string> order(std::size_t count)
  {
    std::vector<std::string> started;
    for (std::size_t i = 0; i < count; ++i)
    {
      step();
      commit_and_step();
      step();
      BOOST_TEST_REQUIRE(starts.size() == 1U);
      const start_command latest = starts.front();
      starts.clear();
      started.push_back(latest.task.job);
      answer_start(latest, call_end::done);
      pass(milliseconds{10});
      answer_hold("w1", {}, {ended(i + 1, latest, run_outcome::done)});
    }
    return started;
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(HotWorkspaceTest)

BOOST_FIXTURE_TEST_CASE(jobs_beyond_the_share_wait_behind_those_of_others, hot_workspace)
{
  for (const char* id : {"hot-1", "hot-2", "hot-3", "hot-4"})
    hand_in(k_hot, id);
  hand_in(k_usual, "usual-1");
  hand_in(k_usual, "usual-2");
  const std::vector<std::string> expected{"hot-1", "hot-2", "usual-1", "usual-2", "hot-3", "hot-4"};
  BOOST_TEST(order(6) == expected, boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(the_share_is_counted_anew_each_second, hot_workspace)
{
  hand_in(k_hot, "hot-1");
  hand_in(k_hot, "hot-2");
  pass(std::chrono::seconds{1});
  hand_in(k_hot, "hot-3");
  hand_in(k_usual, "usual-1");
  // The last two are equal in everything else, so the id decides.
  const std::vector<std::string> expected{"hot-1", "hot-2", "hot-3", "usual-1"};
  BOOST_TEST(order(4) == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_workspace_without_a_stated_share_is_never_beyond_it)
{
  workspace_usage usage({0, 1});
  const common::time_point now{std::chrono::seconds{1}};
  for (int i = 0; i < 100; ++i)
    BOOST_TEST(!usage.account(k_hot).count_job(now));
}

BOOST_AUTO_TEST_SUITE_END()
