// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>

#include "Model/RunJudge.h"

using namespace yardhill;
using std::chrono::seconds;

namespace
{
const std::string k_job = "00000000000000aa";
const std::string k_worker = "worker";

// One job of one task, handed in and cancelled.
struct judged_job
{
  judged_job()
  {
    jobs::job_spec spec;
    spec.steps.emplace_back();
    spec.steps.back().count = 1;
    judge.submitted(k_job, spec, 1);
    judge.answered(k_job, 200);
    judge.cancel_requested(k_job);
  }

  static common::time_point at(seconds when) { return common::time_point{} + when; }
  void start(seconds when) { judge.started({task, 1, k_worker, {}, {}, at(when)}); }

  model::run_judge judge;
  model::task_ref task{k_job, {0, 0, 0}};
};
} // namespace

BOOST_AUTO_TEST_SUITE(RunJudgeTest)

BOOST_FIXTURE_TEST_CASE(a_run_that_goes_on_after_its_cancellation_is_told_once, judged_job)
{
  start(seconds{1});
  judge.cancelled(k_job, at(seconds{2}));
  judge.check_cancelled_gone(at(seconds{1}));
  BOOST_TEST(judge.violations().empty());
  judge.check_cancelled_gone(at(seconds{2}));
  judge.check_cancelled_gone(at(seconds{3}));
  BOOST_TEST(judge.violations().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_run_that_began_late_is_counted_from_its_start, judged_job)
{
  judge.cancelled(k_job, at(seconds{2}));
  start(seconds{5});
  judge.check_cancelled_gone(at(seconds{4}));
  BOOST_TEST(judge.violations().empty());
  judge.check_cancelled_gone(at(seconds{5}));
  BOOST_TEST(judge.violations().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_run_that_ended_or_died_with_its_worker_is_gone, judged_job)
{
  start(seconds{1});
  judge.cancelled(k_job, at(seconds{2}));
  judge.worker_gone(k_worker);
  judge.check_cancelled_gone(at(seconds{9}));
  BOOST_TEST(judge.violations().empty());
}

BOOST_FIXTURE_TEST_CASE(a_job_whose_cancellation_nobody_acknowledged_may_run, judged_job)
{
  start(seconds{1});
  judge.check_cancelled_gone(at(seconds{9}));
  BOOST_TEST(judge.violations().empty());
}

// The workers of a job's first task crash so often, each under a new run.
void crash(judged_job& job, model::run_number times)
{
  for (model::run_number run = 1; run <= times; ++run)
  {
    const std::string worker = k_worker + std::to_string(run);
    job.judge.started({job.task, run, worker, {}, {}, judged_job::at(seconds{run})});
    job.judge.worker_crashed(worker);
    job.judge.worker_gone(worker);
  }
}

BOOST_FIXTURE_TEST_CASE(a_crashing_task_may_be_started_twice_after_the_third_crash, judged_job)
{
  judge.expect_worker_crashes(task);
  crash(*this, 5);
  BOOST_TEST(judge.violations().empty());
  start(seconds{6});
  BOOST_TEST(judge.violations().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_job_fails_by_crashes_only_if_a_task_of_it_causes_them, judged_job)
{
  crash(*this, 3);
  judge.shown(k_job, jobs::job_state::failed);
  BOOST_TEST(judge.violations().size() == 1U);
  judge.expect_worker_crashes(task);
  judge.shown(k_job, jobs::job_state::failed);
  BOOST_TEST(judge.violations().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(one_crash_is_no_reason_to_fail, judged_job)
{
  judge.expect_worker_crashes(task);
  crash(*this, 1);
  judge.shown(k_job, jobs::job_state::failed);
  BOOST_TEST(judge.violations().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
