// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>

#include "Model/RunJudge.h"

using namespace yardhill;
using model::run_outcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
const std::string k_job = "00000000000000aa";
const std::string k_worker = "worker";
const std::string k_other_worker = "other-worker";

// One job of one task, submitted and cancelled.
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

  static common::time_point at(common::duration when) { return common::time_point{} + when; }
  void start(seconds when) { judge.started({task, 1, k_worker, {}, {}, at(when)}); }

  model::run_judge judge;
  model::task_ref task{k_job, {0, 0, 0}};
};
} // namespace

BOOST_AUTO_TEST_SUITE(RunJudgeTest)

BOOST_FIXTURE_TEST_CASE(a_run_that_continues_after_its_cancellation_is_reported_once, judged_job)
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

BOOST_FIXTURE_TEST_CASE(a_job_whose_cancellation_was_not_acknowledged_may_run, judged_job)
{
  start(seconds{1});
  judge.check_cancelled_gone(at(seconds{9}));
  BOOST_TEST(judge.violations().empty());
}

// Crashes `times` workers, each while it runs the job's first task under a new run number.
void crash_workers(judged_job& job, model::run_number times)
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
  crash_workers(*this, 5);
  BOOST_TEST(judge.violations().empty());
  start(seconds{6});
  BOOST_TEST(judge.violations().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_job_fails_by_crashes_only_if_a_task_of_it_causes_them, judged_job)
{
  crash_workers(*this, 3);
  judge.shown(k_job, jobs::job_state::failed);
  BOOST_TEST(judge.violations().size() == 1U);
  judge.expect_worker_crashes(task);
  judge.shown(k_job, jobs::job_state::failed);
  BOOST_TEST(judge.violations().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(one_crash_is_no_reason_to_fail, judged_job)
{
  judge.expect_worker_crashes(task);
  crash_workers(*this, 1);
  judge.shown(k_job, jobs::job_state::failed);
  BOOST_TEST(judge.violations().size() == 1U);
}

// One job of one task, whose first run has ended done on k_worker.
struct done_task
{
  explicit done_task(jobs::step_spec step = {})
  {
    jobs::job_spec spec;
    step.count = 1;
    spec.steps.push_back(step);
    judge.submitted(k_job, spec, 1);
    judge.answered(k_job, 200);
    judge.started({task, 1, k_worker, {}, {}, judged_job::at(k_begin)});
    judge.ended(task, 1, k_worker, run_outcome::done);
  }

  void disrupt(common::duration from, common::duration until)
  {
    judge.disrupted(judged_job::at(from), judged_job::at(until));
  }
  void list(common::duration when) { judge.listed(task, 1, k_worker, judged_job::at(when)); }
  void acknowledge(common::duration when)
  {
    judge.acknowledged(task, 1, k_worker, run_outcome::done, judged_job::at(when));
  }
  void start_again(common::duration when)
  {
    judge.started({task, 2, k_other_worker, {}, {}, judged_job::at(when)});
  }
  bool twice() const
  {
    return judge.violations().size() == 1 && judge.violations().front().starts_with("TWICE");
  }

  static constexpr seconds k_begin{9};

  model::run_judge judge;
  model::task_ref task{k_job, {0, 0, 0}};
};

jobs::step_spec speculative_step()
{
  jobs::step_spec step;
  step.speculative = true;
  return step;
}

BOOST_FIXTURE_TEST_CASE(a_start_before_an_end_is_acknowledged_is_reported_with_that, done_task)
{
  start_again(seconds{10});
  BOOST_TEST(judge.violations().empty());
  acknowledge(seconds{11});
  BOOST_TEST(twice());
}

BOOST_FIXTURE_TEST_CASE(an_end_that_is_never_acknowledged_allows_another_start, done_task)
{
  judge.worker_gone(k_worker);
  start_again(seconds{10});
  // The end of the other run is acknowledged, and so is that of a run of the next incarnation with
  // the first run's number.
  judge.ended(task, 2, k_other_worker, run_outcome::done);
  judge.acknowledged(task, 2, k_other_worker, run_outcome::done, judged_job::at(seconds{12}));
  judge.acknowledged(task, 1, k_worker + "~2", run_outcome::done, judged_job::at(seconds{12}));
  BOOST_TEST(judge.violations().empty());
}

BOOST_FIXTURE_TEST_CASE(an_end_before_a_lease_lapsed_is_not_taken_note_of_later, done_task)
{
  judge.lease_lapsed(k_worker, judged_job::at(seconds{10}));
  start_again(seconds{11});
  acknowledge(seconds{12});
  BOOST_TEST(judge.violations().empty());
}

BOOST_FIXTURE_TEST_CASE(another_workers_lease_does_not_matter_to_an_end, done_task)
{
  judge.lease_lapsed(k_other_worker, judged_job::at(seconds{10}));
  start_again(seconds{11});
  acknowledge(seconds{12});
  BOOST_TEST(twice());
}

BOOST_AUTO_TEST_CASE(copies_and_long_running_tasks_may_start_before_an_end_is_acknowledged)
{
  jobs::step_spec long_running;
  long_running.long_running = true;
  for (const jobs::step_spec& step : {speculative_step(), long_running})
  {
    done_task done(step);
    done.start_again(seconds{10});
    done.acknowledge(seconds{11});
    BOOST_TEST(done.judge.violations().empty());
  }
}

BOOST_FIXTURE_TEST_CASE(a_start_100_ms_after_an_end_was_listed_is_reported, done_task)
{
  disrupt(seconds{0}, seconds{5});
  list(seconds{10});
  start_again(milliseconds{10101});
  BOOST_TEST(twice());
  acknowledge(seconds{11});
  BOOST_TEST(twice()); // and not once more
}

BOOST_FIXTURE_TEST_CASE(a_start_within_100_ms_of_a_listing_waits_for_the_acknowledgement, done_task)
{
  disrupt(seconds{0}, seconds{5});
  list(seconds{10});
  start_again(milliseconds{10100});
  BOOST_TEST(judge.violations().empty());
}

BOOST_FIXTURE_TEST_CASE(listed_ends_do_not_count_where_nobody_reports_disruptions, done_task)
{
  list(seconds{10});
  start_again(seconds{20});
  BOOST_TEST(judge.violations().empty());
}

BOOST_FIXTURE_TEST_CASE(an_end_listed_near_a_disruption_does_not_count, done_task)
{
  disrupt(seconds{6}, milliseconds{7100});
  list(seconds{10});
  start_again(seconds{20});
  BOOST_TEST(judge.violations().empty());
}

BOOST_FIXTURE_TEST_CASE(an_end_listed_just_before_a_disruption_does_not_count, done_task)
{
  disrupt(seconds{0}, seconds{5});
  list(seconds{10});
  disrupt(milliseconds{10100}, milliseconds{10100});
  start_again(seconds{20});
  BOOST_TEST(judge.violations().empty());
}

BOOST_FIXTURE_TEST_CASE(a_listing_counts_for_good, done_task)
{
  disrupt(seconds{0}, milliseconds{7099});
  list(seconds{10});
  disrupt(milliseconds{10101}, seconds{15});
  judge.lease_lapsed(k_worker, judged_job::at(seconds{14}));
  judge.worker_gone(k_worker);
  start_again(seconds{20});
  BOOST_TEST(twice());
}

BOOST_FIXTURE_TEST_CASE(an_end_listed_again_after_a_disruption_counts, done_task)
{
  disrupt(seconds{6}, seconds{9});
  list(seconds{10});
  list(seconds{12});
  start_again(milliseconds{12101});
  BOOST_TEST(twice());
}

BOOST_FIXTURE_TEST_CASE(an_end_listed_after_its_lease_lapsed_does_not_count, done_task)
{
  disrupt(seconds{0}, seconds{5});
  judge.lease_lapsed(k_worker, judged_job::at(seconds{10}));
  list(seconds{11});
  start_again(seconds{20});
  BOOST_TEST(judge.violations().empty());
}

BOOST_AUTO_TEST_CASE(a_copy_may_start_soon_after_an_end_was_listed_but_not_later)
{
  for (const auto& [when, allowed] :
       {std::pair(milliseconds{15600}, true), std::pair(milliseconds{15601}, false)})
  {
    done_task done(speculative_step());
    done.disrupt(seconds{0}, seconds{5});
    done.list(seconds{10});
    done.acknowledge(seconds{12});
    done.start_again(when);
    BOOST_TEST(done.judge.violations().empty() == allowed);
    BOOST_TEST(done.twice() == !allowed);
  }
}

// A second run of a job's task, started in time or by a request that was carried out late.
model::observed_start second_start(common::duration when, bool late)
{
  return {{k_job, {0, 0, 0}}, 2, k_other_worker, {}, {}, judged_job::at(when), late};
}

BOOST_AUTO_TEST_CASE(a_late_start_of_a_cancelled_job_is_only_checked_for_being_gone)
{
  for (const bool late : {false, true})
  {
    judged_job cancelled;
    cancelled.judge.cancelled(k_job, judged_job::at(seconds{2}));
    cancelled.judge.started(second_start(seconds{10}, late));
    BOOST_TEST(cancelled.judge.violations().empty() == late);
    cancelled.judge.check_cancelled_gone(judged_job::at(milliseconds{9999}));
    BOOST_TEST(cancelled.judge.violations().empty() == late);
    cancelled.judge.check_cancelled_gone(judged_job::at(seconds{10}));
    BOOST_TEST_REQUIRE(!cancelled.judge.violations().empty());
    BOOST_TEST(cancelled.judge.violations().back().find("goes on") != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(a_late_start_may_come_long_after_its_job_was_shown_as_completed)
{
  for (const bool late : {false, true})
  {
    done_task done(speculative_step());
    done.judge.shown(k_job, jobs::job_state::completed, judged_job::at(seconds{10}));
    done.judge.started(second_start(seconds{20}, late));
    BOOST_TEST(done.judge.violations().empty() == late);
    BOOST_TEST(done.twice() == !late);
  }
}

BOOST_AUTO_TEST_CASE(a_late_copy_may_start_long_after_an_end_but_no_other_late_start)
{
  for (const bool speculative : {false, true})
  {
    for (const bool late : {false, true})
    {
      done_task done(speculative ? speculative_step() : jobs::step_spec{});
      done.acknowledge(seconds{10});
      done.judge.started(second_start(seconds{20}, late));
      BOOST_TEST(done.judge.violations().empty() == (speculative && late));
      BOOST_TEST(done.twice() == !(speculative && late));
    }
  }
}

BOOST_AUTO_TEST_CASE(a_late_start_before_an_end_is_acknowledged_is_reported_with_that)
{
  done_task done;
  done.judge.started(second_start(seconds{10}, true));
  done.acknowledge(seconds{11});
  BOOST_TEST(done.twice());
}

BOOST_AUTO_TEST_CASE(a_late_start_beside_another_run_is_reported)
{
  judged_job running;
  running.start(seconds{1});
  running.judge.started(second_start(seconds{2}, true));
  BOOST_TEST(running.judge.violations().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_late_copy_may_start_after_the_last_failure_but_no_other_late_start)
{
  for (const bool speculative : {false, true})
  {
    for (const bool late : {false, true})
    {
      jobs::job_spec spec;
      spec.steps.push_back(speculative ? speculative_step() : jobs::step_spec{});
      spec.steps.back().count = 1;
      model::run_judge judge;
      judge.submitted(k_job, spec, 1);
      judge.answered(k_job, 200);
      judge.started({{k_job, {0, 0, 0}}, 1, k_worker, {}, {}, judged_job::at(seconds{1})});
      judge.ended({k_job, {0, 0, 0}}, 1, k_worker, run_outcome::failed);
      judge.acknowledged({k_job, {0, 0, 0}}, 1, k_worker, run_outcome::failed,
                         judged_job::at(seconds{2}));
      judge.started(second_start(seconds{20}, late));
      BOOST_TEST(judge.violations().empty() == (speculative && late));
    }
  }
}

namespace
{
// A job of ten tasks of one core and 100 MiB each in a workspace that may use four cores, and a job
// of another workspace.
struct limited_workspace
{
  const std::string other_job = "00000000000000bb";
  model::run_judge judge;
  common::resources limit;

  limited_workspace()
  {
    limit.cpu_millis = 4000;
    judge.set_workspace_limits([this](const std::string& workspace, common::time_point)
                               { return workspace == "handbooks" ? limit : common::resources{}; });
    submit(k_job, "handbooks");
    submit(other_job, "manuals");
  }

  void submit(const std::string& id, const std::string& workspace)
  {
    jobs::job_spec spec;
    spec.steps.emplace_back();
    spec.steps.back().count = 10;
    spec.steps.back().demand.cpu_millis = 1000;
    spec.steps.back().demand.memory_mib = 100;
    spec.steps.back().long_running = true;
    judge.submitted(id, spec, 1);
    judge.belongs_to(id, workspace);
    judge.answered(id, 200);
  }

  void start(const std::string& id, std::uint32_t first, std::uint32_t count, bool late = false)
  {
    for (std::uint32_t index = first; index < first + count; ++index)
      judge.started({{id, {0, 0, index}}, 1, k_worker, {}, {}, judged_job::at(seconds{1}), late});
  }

  // Whether the job's last task is reported as one that has to run and does not, with much free
  // capacity and a long time after its run.
  bool last_task_missed()
  {
    judge.expect_to_keep_running(k_job);
    for (milliseconds time{0}; time < seconds{20}; time += milliseconds{100})
      judge.check_long_running({{k_other_worker, {100000, 100000}}},
                               judged_job::at(seconds{30} + time), judged_job::at(seconds{1}));
    return !judge.violations().empty();
  }
};
} // namespace

BOOST_FIXTURE_TEST_CASE(one_task_beyond_the_limit_and_its_overage_is_allowed, limited_workspace)
{
  start(k_job, 0, 5);
  BOOST_TEST(judge.violations().empty());
}

BOOST_FIXTURE_TEST_CASE(two_tasks_beyond_the_limit_and_its_overage_are_reported, limited_workspace)
{
  start(k_job, 0, 6);
  BOOST_TEST(judge.violations().size() == 1U);
}

// The limit is not one in time, so the rules do not except these.
BOOST_FIXTURE_TEST_CASE(late_starts_beyond_the_limit_are_reported_as_well, limited_workspace)
{
  start(k_job, 0, 5);
  start(k_job, 5, 1, true);
  BOOST_TEST(judge.violations().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(each_resource_is_checked_against_its_own_limit, limited_workspace)
{
  limit = {};
  limit.memory_mib = 250;
  start(k_job, 0, 3);
  BOOST_TEST(judge.violations().empty());
  start(k_job, 3, 1);
  BOOST_TEST(judge.violations().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(without_a_limit_anything_may_run, limited_workspace)
{
  limit = {};
  start(k_job, 0, 10);
  BOOST_TEST(judge.violations().empty());
}

BOOST_FIXTURE_TEST_CASE(ended_runs_and_other_workspaces_do_not_count, limited_workspace)
{
  start(other_job, 0, 10);
  start(k_job, 0, 5);
  for (std::uint32_t index = 0; index < 5; ++index)
    judge.ended({k_job, {0, 0, index}}, 1, k_worker, run_outcome::stopped);
  start(k_job, 5, 5);
  BOOST_TEST(judge.violations().empty());
}

// The platform counts a task as missing only while its workspace uses less than half of its limit.
BOOST_FIXTURE_TEST_CASE(a_task_may_wait_while_its_workspace_uses_half_of_its_limit,
                        limited_workspace)
{
  start(k_job, 0, 2);
  BOOST_TEST(!last_task_missed());
}

BOOST_FIXTURE_TEST_CASE(a_task_must_run_while_its_workspace_uses_less_than_half_of_its_limit,
                        limited_workspace)
{
  start(k_job, 0, 1);
  BOOST_TEST(last_task_missed());
}

BOOST_FIXTURE_TEST_CASE(a_task_must_run_where_its_workspace_has_no_limit, limited_workspace)
{
  limit = {};
  start(k_job, 0, 9);
  BOOST_TEST(last_task_missed());
}

namespace
{
// A long-running step of three tasks, two on a worker at most, that must keep running. Its policy
// permits two of three workers.
struct limited_step
{
  const std::string forbidden_worker = "forbidden-worker";
  // The step's tasks need one core each.
  std::vector<model::usable_worker> usable{
      {k_worker, {8000, 8000}}, {k_other_worker, {8000, 8000}}, {forbidden_worker, {8000, 8000}}};
  model::run_judge judge;

  limited_step()
  {
    jobs::job_spec spec;
    spec.steps.emplace_back();
    spec.steps.back().count = 3;
    spec.steps.back().max_tasks_per_worker = 2;
    spec.steps.back().demand.cpu_millis = 1000;
    spec.steps.back().long_running = true;
    judge.submitted(k_job, spec, 1);
    judge.answered(k_job, 200);
    judge.expect_to_keep_running(k_job);
    judge.set_permissions([this](const model::task_ref&, const std::string& worker)
                          { return worker != forbidden_worker; });
  }

  void start(std::uint32_t index, const std::string& worker)
  {
    judge.started({{k_job, {0, 0, index}}, 1, worker, {}, {}, judged_job::at(seconds{1})});
  }

  // The number of violations after the step's idle tasks were checked for `time`.
  std::size_t violations_after(milliseconds time)
  {
    for (milliseconds passed{0}; passed <= time; passed += milliseconds{100})
      judge.check_long_running(usable, judged_job::at(seconds{30} + passed),
                               judged_job::at(seconds{1}));
    return judge.violations().size();
  }
};

// Long after a task that became idle has to run again.
constexpr seconds k_long{20};
} // namespace

// A task whose step may not have more tasks on any worker that its policy permits cannot start, so
// it may wait; it was reported because such workers had free capacity.
BOOST_FIXTURE_TEST_CASE(a_task_may_wait_while_its_step_is_at_its_limit_on_all_permitted_workers,
                        limited_step)
{
  usable.erase(usable.begin() + 1); // only k_worker and the forbidden one are left
  start(0, k_worker);
  start(1, k_worker);
  BOOST_TEST(violations_after(k_long) == 0U);
}

// Guards against a judge that takes a limit reached on one worker for one reached on all, or that
// allows more than the 6 s after the last run and the 3 s with free capacity.
BOOST_FIXTURE_TEST_CASE(a_task_must_run_while_one_permitted_worker_is_below_its_steps_limit,
                        limited_step)
{
  start(0, k_worker);
  start(1, k_worker);
  BOOST_TEST(violations_after(milliseconds{8900}) == 0U);
  limited_step longer;
  longer.start(0, k_worker);
  longer.start(1, k_worker);
  BOOST_TEST(longer.violations_after(milliseconds{9000}) == 1U);
  BOOST_TEST_REQUIRE(!longer.judge.violations().empty());
  BOOST_TEST(longer.judge.violations().front().starts_with("LOST: " + k_job + ".0.0.2"));
}

// Guards against a judge that takes a worker with some tasks of the step for one with as many as
// the step permits.
BOOST_FIXTURE_TEST_CASE(a_task_must_run_while_a_worker_has_fewer_tasks_than_the_limit, limited_step)
{
  usable.erase(usable.begin() + 1);
  start(0, k_worker);
  BOOST_TEST(violations_after(k_long) > 0U);
}

// The limit counts tasks that run, so a worker on which one has ended may get another one.
BOOST_FIXTURE_TEST_CASE(a_task_must_run_once_another_one_of_its_step_has_ended, limited_step)
{
  usable.erase(usable.begin() + 1);
  start(0, k_worker);
  start(1, k_worker);
  BOOST_TEST(violations_after(k_long) == 0U);
  judge.ended({k_job, {0, 0, 0}}, 1, k_worker, run_outcome::failed);
  BOOST_TEST(violations_after(k_long) > 0U);
}

// Other jobs' tasks do not count for the step's limit.
BOOST_FIXTURE_TEST_CASE(tasks_of_another_job_do_not_count_for_a_steps_limit, limited_step)
{
  const std::string other_job = "00000000000000bb";
  jobs::job_spec spec;
  spec.steps.emplace_back();
  spec.steps.back().count = 2;
  judge.submitted(other_job, spec, 1);
  judge.answered(other_job, 200);
  usable.erase(usable.begin() + 1);
  start(0, k_worker);
  for (std::uint32_t index = 0; index < 2; ++index)
    judge.started({{other_job, {0, 0, index}}, 1, k_worker, {}, {}, judged_job::at(seconds{1})});
  BOOST_TEST(violations_after(k_long) > 0U);
}

BOOST_FIXTURE_TEST_CASE(a_task_may_wait_while_no_permitted_worker_has_twice_its_capacity,
                        limited_step)
{
  usable[0].capacity.cpu_millis = 2900; // one core is used
  usable[1].capacity.cpu_millis = 1900;
  start(0, k_worker);
  BOOST_TEST(violations_after(k_long) == 0U);
  usable[1].capacity.cpu_millis = 2000;
  BOOST_TEST(violations_after(k_long) > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
