// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// What an accepted job needs of the configuration holds for the job under later owners, whatever
// the configuration says by then.

#include <boost/test/unit_test.hpp>

#include "Scheduling/SchedulerHarness.h"

using namespace yardhill;
using namespace yardhill::scheduling;

namespace
{
constexpr const char* k_workspace = "workspace";
constexpr const char* k_other_queue = "other queue";

// A new owner under a configuration without the job's queue.
struct owner_without_the_queue : takeover_harness
{
  owner_without_the_queue()
  {
    scheduler = std::make_unique<job_scheduler>(options, 1000, metrics);
    scheduler->set_authority(now + std::chrono::hours{1}, now);
    scheduler->set_policies({{k_other_queue, policy()}});
  }

  static jobs::queue_policy policy()
  {
    jobs::queue_policy policy;
    policy.service = "service";
    policy.max_attempts = 3;
    return policy;
  }

  static jobs::accepted_job accepted()
  {
    jobs::accepted_job accepted = job(k_job, {step_of(2)});
    accepted.terms = {policy(), {}, 0.0};
    return accepted;
  }

  void run(const jobs::accepted_job& accepted,
           const std::optional<jobs::job_progress>& progress = std::nullopt)
  {
    scheduler->restore_job(accepted, progress, now);
    scheduler->begin_accounting(now);
    add_worker(worker("w1"));
    commit_and_step();
    commit_and_step();
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(AcceptanceTermsTest)

// Guards against accepted jobs that never run: their route is replaced, and the next owner knows
// neither their service nor their attempts.
BOOST_FIXTURE_TEST_CASE(a_job_of_a_removed_queue_runs_under_the_next_owner, owner_without_the_queue)
{
  run(accepted());
  BOOST_TEST_REQUIRE(starts.size() == 2U);
  const start_command first = starts.front();
  answer_start(first, call_end::done);
  answer_hold("w1", {running(starts[1])}, {ended(1, first, run_outcome::failed)});
  BOOST_TEST((scheduler->state_of(k_job) == jobs::job_state::active)); // one of three attempts
}

BOOST_FIXTURE_TEST_CASE(the_configuration_in_force_goes_before_the_stored_policy,
                        owner_without_the_queue)
{
  jobs::queue_policy configured = policy();
  configured.max_attempts = 1;
  jobs::accepted_job changed = accepted();
  scheduler->set_policies({{changed.queue, configured}});
  run(changed);
  BOOST_TEST_REQUIRE(starts.size() == 2U);
  answer_start(starts.front(), call_end::done);
  answer_hold("w1", {}, {ended(1, starts.front(), run_outcome::failed)});
  BOOST_TEST((scheduler->state_of(k_job) == jobs::job_state::failed));
}

// Guards against the same for jobs that were accepted by a version that stored no policy.
BOOST_FIXTURE_TEST_CASE(the_owner_stores_the_policy_of_a_removed_queue_for_earlier_jobs,
                        scheduler_harness)
{
  add_worker(worker("w1"));
  start_job(k_job, step_of(1));
  scheduler->set_policies({{k_other_queue, owner_without_the_queue::policy()}});
  const commit_batch batch = scheduler->take_commit(90, now);
  BOOST_TEST_REQUIRE(batch.rows.contains(k_job));
  const jobs::job_progress progress = jobs::job_progress_from(batch.rows.at(k_job));
  BOOST_TEST_REQUIRE(progress.terms.has_value());
  BOOST_TEST(progress.terms->policy.service == "service");
  BOOST_TEST(progress.terms->policy.max_attempts == 3U);
  // The next owner keeps it as well.
  owner_without_the_queue next;
  jobs::job_progress waiting = progress;
  waiting.begun.clear();
  next.run(job(k_job, {step_of(1)}), waiting);
  BOOST_TEST(next.starts.size() == 1U);
  next.scheduler->set_policies({});
  next.answer_start(next.starts.front(), call_end::done);
  next.answer_hold("w1", {}, {ended(1, next.starts.front(), run_outcome::failed)});
  const commit_batch later = next.scheduler->take_commit(90, next.now);
  BOOST_TEST_REQUIRE(later.rows.contains(k_job));
  BOOST_TEST(jobs::job_progress_from(later.rows.at(k_job)).terms.has_value());
}

BOOST_FIXTURE_TEST_CASE(nothing_is_stored_while_the_queue_is_configured, scheduler_harness)
{
  add_worker(worker("w1"));
  scheduler->add_job(job(k_job, {step_of(1)}), now);
  step();
  const commit_batch batch = scheduler->take_commit(90, now);
  BOOST_TEST_REQUIRE(batch.rows.contains(k_job));
  BOOST_TEST(!jobs::job_progress_from(batch.rows.at(k_job)).terms.has_value());
}

// Guards against a workspace beyond its limit: it is removed from the configuration, and the next
// owner knows no limit for its accepted jobs.
BOOST_FIXTURE_TEST_CASE(a_removed_workspace_keeps_its_limit_under_the_next_owner,
                        owner_without_the_queue)
{
  jobs::accepted_job limited = accepted();
  limited.spec.steps = {step_of(4)};
  limited.workspace = k_workspace;
  limited.terms->workspace_limit.cpu_millis = 2000;
  scheduler->set_workspaces({});
  run(limited);
  BOOST_TEST(starts.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(the_limit_in_force_goes_before_the_stored_one, owner_without_the_queue)
{
  jobs::accepted_job limited = accepted();
  limited.spec.steps = {step_of(4)};
  limited.workspace = k_workspace;
  limited.terms->workspace_limit.cpu_millis = 2000;
  jobs::workspace configured;
  configured.name = k_workspace;
  configured.max_running.cpu_millis = 3000;
  scheduler->set_workspaces({{k_workspace, configured}});
  run(limited);
  BOOST_TEST(starts.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
