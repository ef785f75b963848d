// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>

#include "Jobs/JobProgress.h"
#include "Jobs/JobSpec.h"

using namespace yardhill::jobs;

BOOST_AUTO_TEST_SUITE(RowsTest)

BOOST_AUTO_TEST_CASE(a_stored_job_is_read_back_unchanged)
{
  accepted_job job;
  job.id = "5c0e7a21d94b36f8";
  job.queue = "queue";
  job.home = "cell";
  job.accepted_at = wall_time(milliseconds{1234567});
  job.spec.payload = "text";
  job.spec.repeats = 3;
  job.spec.interval = milliseconds{500};
  job.spec.first_due = wall_time(milliseconds{777});
  step_spec step;
  step.count = 4;
  step.demand = {1500, 256, 1, 0, 0};
  step.estimate = milliseconds{900};
  step.gang = true;
  step.required_label = "b";
  step.max_tasks_per_worker = 2;
  step.tail_latency_target = milliseconds{40};
  step.limits_unavailable = true;
  job.spec.steps = {step, step};
  job.spec.steps[1].depends_on = {0};
  const accepted_job read = accepted_job_from(job.id, to_row_text(job));
  BOOST_TEST(to_row_text(read) == to_row_text(job));
  BOOST_TEST(read.spec.steps[1].depends_on.front() == 0U);
  BOOST_TEST((read.spec.steps[0].demand == step.demand));
  BOOST_TEST((read.accepted_at == job.accepted_at));
  BOOST_TEST((read.spec.due(2) == wall_time(milliseconds{1777})));
}

BOOST_AUTO_TEST_CASE(progress_is_read_back_unchanged)
{
  job_progress progress;
  progress.state = job_state::active;
  progress.done = {{{true, false, true}, {false}}};
  progress.histories[{0, 0, 1}] = {
      {17, 1004}, "checkpoint", {{3}, {4, 5}, 6, "worker", 1, 2, true}};
  progress.begun = {{{0, 0, 0}, "zone"}, {{0, 1, 0}, ""}};
  const job_progress read = job_progress_from(to_row_text(progress));
  BOOST_TEST((read.state == progress.state));
  BOOST_TEST((read.done == progress.done));
  BOOST_TEST((read.histories == progress.histories));
  BOOST_TEST((read.begun == progress.begun));
}

BOOST_AUTO_TEST_CASE(an_ended_job_is_stored_without_details)
{
  job_progress progress;
  progress.state = job_state::completed;
  progress.done = {{std::vector<bool>(1000, true)}};
  BOOST_TEST(to_row_text(progress).size() < 40U);
  BOOST_TEST((job_progress_from(to_row_text(progress)).state == job_state::completed));
}

BOOST_AUTO_TEST_CASE(damaged_rows_throw)
{
  BOOST_CHECK_THROW(job_progress_from("{}"), std::exception);
  BOOST_CHECK_THROW(job_progress_from(R"({"state":"unheard of"})"), std::exception);
  BOOST_CHECK_THROW(accepted_job_from("id", "nonsense"), std::exception);
}

BOOST_AUTO_TEST_CASE(critical_paths_follow_the_longest_chain)
{
  std::vector<step_spec> steps(3);
  steps[0].estimate = milliseconds{100};
  steps[1].estimate = milliseconds{50};
  steps[2].estimate = milliseconds{10};
  steps[2].depends_on = {0, 1};
  const auto paths = critical_paths_from(steps);
  BOOST_TEST((paths[0] == milliseconds{110}));
  BOOST_TEST((paths[1] == milliseconds{60}));
  BOOST_TEST((paths[2] == milliseconds{10}));
  BOOST_TEST((critical_path_length(steps) == milliseconds{110}));
}

BOOST_AUTO_TEST_CASE(the_terms_of_a_job_are_read_back_unchanged)
{
  acceptance_terms terms;
  terms.policy.priority = 2;
  terms.policy.max_attempts = 3;
  terms.policy.stretch = 2.5;
  terms.policy.latency_target = milliseconds{1200};
  terms.policy.service = "service";
  terms.policy.advice = {milliseconds{450}, std::chrono::microseconds{6500}, milliseconds{2500}};
  terms.workspace_limit = {4000, 8192, 1, 0, 0};
  terms.workspace_weight = 0.5;
  accepted_job job;
  job.terms = terms;
  const accepted_job read = accepted_job_from("5c0e7a21d94b36f8", to_row_text(job));
  BOOST_TEST_REQUIRE(read.terms.has_value());
  BOOST_TEST(read.terms->policy.priority == 2U);
  BOOST_TEST(read.terms->policy.max_attempts == 3U);
  BOOST_TEST(read.terms->policy.stretch == 2.5);
  BOOST_TEST((read.terms->policy.latency_target == milliseconds{1200}));
  BOOST_TEST(read.terms->policy.service == "service");
  BOOST_TEST_REQUIRE(read.terms->policy.advice.has_value());
  BOOST_TEST((read.terms->policy.advice->per_call == milliseconds{450}));
  BOOST_TEST((read.terms->policy.advice->per_worker == std::chrono::microseconds{6500}));
  BOOST_TEST((read.terms->policy.advice->valid == milliseconds{2500}));
  BOOST_TEST((read.terms->workspace_limit == terms.workspace_limit));
  BOOST_TEST(read.terms->workspace_weight == 0.5);
  job_progress progress;
  progress.state = job_state::active;
  progress.terms = terms;
  BOOST_TEST(to_row_text(job_progress_from(to_row_text(progress))) == to_row_text(progress));
}

BOOST_AUTO_TEST_CASE(a_job_without_terms_is_read_and_written_without)
{
  accepted_job job;
  BOOST_TEST(to_row_text(job).find("terms") == std::string::npos);
  BOOST_TEST(!accepted_job_from("5c0e7a21d94b36f8", to_row_text(job)).terms.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
