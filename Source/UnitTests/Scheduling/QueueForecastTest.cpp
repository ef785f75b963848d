// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Guards against accepting jobs in vain while the workers are full: during a burst most new jobs
// could earn nothing any more when they started, and no job was refused. Also guards against
// predictions without evidence, since each of them may refuse a job that could have been run.

#include <algorithm>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "Scheduling/QueueForecast.h"
#include "Scheduling/SchedulerHarness.h"

using namespace yardhill::scheduling;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr std::int64_t k_full = 0; // free capacity

// A forecast that observes every 200 ms what a test makes up.
struct observing
{
  yardhill::common::metrics metrics;
  queue_forecast forecast{metrics};
  time_point now{seconds{1000}};
  std::map<std::uint32_t, waiting_work> waiting;

  void wait_for(std::uint32_t priority, core_milliseconds in_time, core_milliseconds late = 0)
  {
    waiting[priority] = {in_time, late, 10'000, milliseconds{1000}};
  }
  // Starts `rate` core-milliseconds of the priority's work in each millisecond.
  void play(duration span, std::uint32_t priority, core_milliseconds rate,
            std::int64_t free_cpu = k_full)
  {
    for (const time_point end = now + span; now < end;)
    {
      now += queue_forecast::k_observation_period;
      if (rate > 0)
        forecast.record_start(priority, rate * queue_forecast::k_observation_period.count(), now);
      forecast.observe(waiting, free_cpu, now);
    }
  }
  std::size_t predictions() const { return forecast.predicted_waits(now).size(); }
  milliseconds wait_of(std::uint32_t priority) const
  {
    const auto waits = forecast.predicted_waits(now);
    BOOST_TEST_REQUIRE(waits.contains(priority));
    return waits.at(priority);
  }
};

// A partition with one worker of 16 cores, and jobs of one task that needs one core for 400 ms, so
// that 40 jobs a second end.
struct one_worker : scheduler_harness
{
  static constexpr milliseconds k_run_time{400};
  static constexpr milliseconds k_pass{25};
  static constexpr yardhill::jobs::wall_time k_start_of_day{std::chrono::hours{1}};
  static constexpr const char* k_usual = "usual";
  static constexpr const char* k_urgent = "urgent";

  struct running_task
  {
    start_command request;
    time_point end;
  };

  one_worker()
  {
    yardhill::jobs::queue_policy usual;
    usual.max_attempts = 3;
    usual.service = "service";
    usual.priority = 2;
    usual.latency_target = seconds{2};
    yardhill::jobs::queue_policy urgent = usual;
    urgent.priority = 0;
    scheduler->set_policies({{k_usual, usual}, {k_urgent, urgent}});
    scheduler->set_wall_clock(k_start_of_day, now);
  }

  yardhill::jobs::wall_time wall() const
  {
    return k_start_of_day + std::chrono::duration_cast<milliseconds>(now - m_begin);
  }

  std::string submit(const char* queue = k_usual, const std::string& workspace = {})
  {
    yardhill::jobs::step_spec step = step_of(1);
    step.estimate = k_run_time;
    const std::string id = "job-" + std::to_string(10000 + m_jobs++);
    yardhill::jobs::accepted_job each = job(id, {step});
    each.queue = queue;
    each.workspace = workspace;
    each.accepted_at = wall();
    scheduler->add_job(each, now);
    return id;
  }

  void submit_many(int count, const char* queue = k_usual, const std::string& workspace = {})
  {
    for (int i = 0; i < count; ++i)
      submit(queue, workspace);
  }

  // One pass, after which the workers end the tasks that are due.
  void play_pass()
  {
    pass(k_pass);
    std::vector<listed_run> listed;
    std::vector<listed_end> ends;
    for (const running_task& each : running_tasks)
    {
      if (each.end <= now)
        ends.push_back(ended(++m_ends, each.request, run_outcome::done));
      else
        listed.push_back(running(each.request));
    }
    std::erase_if(running_tasks, [this](const running_task& each) { return each.end <= now; });
    answer_hold("w1", listed, ends);
    commit_and_step();
    for (const start_command& each : starts)
    {
      answer_start(each, call_end::done);
      // The run times differ, so that the tasks do not all end in the same pass.
      running_tasks.push_back({each, now + k_run_time + (m_starts++ % 5 - 2) * k_pass});
      started.insert(each.task.job);
    }
    starts.clear();
    holds.clear();
  }

  // Submits `jobs_per_pass` jobs before each pass; one is the rate at which jobs end.
  void play(duration span, int jobs_per_pass = 0)
  {
    for (const time_point end = now + span; now < end;)
    {
      submit_many(jobs_per_pass);
      play_pass();
    }
  }

  std::optional<milliseconds> wait_of(std::uint32_t priority) const
  {
    const auto waits = scheduler->start_waits(now);
    const auto found = waits.find(priority);
    return found == waits.end() ? std::nullopt : std::optional(found->second);
  }

  std::vector<running_task> running_tasks;
  std::set<std::string> started; // ids of jobs

private:
  time_point m_begin = now;
  int m_jobs = 0;
  int m_starts = 0;
  end_number m_ends = 0;
};
} // namespace

BOOST_AUTO_TEST_SUITE(QueueForecastTest)

// ---- Burst

BOOST_FIXTURE_TEST_CASE(the_wait_is_the_work_ahead_over_the_rate_of_starts, observing)
{
  wait_for(2, 32'000);
  play(seconds{3}, 2, 16);
  BOOST_TEST((wait_of(2) == seconds{2}));
}

BOOST_FIXTURE_TEST_CASE(work_of_higher_priorities_is_ahead_and_lower_ones_are_not, observing)
{
  wait_for(0, 8'000);
  wait_for(1, 8'000);
  wait_for(2, 64'000);
  play(seconds{3}, 0, 16);
  BOOST_TEST((wait_of(0) == milliseconds{500}));
  BOOST_TEST((wait_of(1) == seconds{1}));
  BOOST_TEST((wait_of(2) == seconds{5}));
}

BOOST_FIXTURE_TEST_CASE(a_burst_shorter_than_the_onset_predicts_nothing, observing)
{
  wait_for(2, 32'000);
  for (int i = 0; i < 4; ++i)
  {
    play(milliseconds{800}, 2, 16);
    BOOST_TEST(predictions() == 0U);
    play(milliseconds{200}, 2, 16, 10'000); // a break
  }
  BOOST_TEST(metrics.value(yardhill::common::counter::forecasts_begun) == 0U);
}

BOOST_FIXTURE_TEST_CASE(the_rate_before_the_burst_is_not_the_capacity, observing)
{
  wait_for(2, 32'000);
  play(seconds{4}, 2, 1, 100'000); // a cell that is nearly idle
  play(milliseconds{1400}, 2, 16);
  BOOST_TEST((wait_of(2) == seconds{2}));
}

BOOST_FIXTURE_TEST_CASE(late_jobs_count_only_if_a_new_job_would_be_late_as_well, observing)
{
  wait_for(2, 8'000, 80'000);
  play(seconds{3}, 2, 16);
  BOOST_TEST((wait_of(2) == milliseconds{500}));
  wait_for(2, 32'000, 80'000);
  play(seconds{1}, 2, 16);
  BOOST_TEST((wait_of(2) == seconds{7}));
}

// ---- Workers full

BOOST_FIXTURE_TEST_CASE(a_new_job_starts_when_the_full_cell_predicted, one_worker)
{
  add_worker(worker("w1"));
  submit_many(60);
  play(seconds{4}, 1);
  const auto wait = wait_of(2);
  BOOST_TEST_REQUIRE(wait.has_value());
  const std::string last = submit();
  const time_point submitted = now;
  while (!started.contains(last) && now - submitted < seconds{10})
    play(k_pass, 1);
  const auto actual = std::chrono::duration_cast<milliseconds>(now - submitted);
  // The rate is that of whole tasks in a few seconds.
  BOOST_TEST((actual > *wait * 3 / 4));
  BOOST_TEST((actual < *wait * 5 / 4));
}

BOOST_FIXTURE_TEST_CASE(urgent_jobs_do_not_wait_behind_others, one_worker)
{
  add_worker(worker("w1"));
  submit_many(100);
  play(seconds{2}, 1);
  BOOST_TEST(wait_of(2).has_value());
  BOOST_TEST(!wait_of(0).has_value());
}

BOOST_FIXTURE_TEST_CASE(a_cell_with_free_workers_predicts_nothing, one_worker)
{
  add_worker(worker("w1"));
  add_worker(worker("w2", 200'000));
  // Waits for a worker that has enough memory, not for processor capacity.
  yardhill::jobs::step_spec step = step_of(1);
  step.demand.memory_mib = 1 << 30;
  scheduler->add_job(job(k_job, {step}), now);
  play(seconds{5}, 1);
  BOOST_TEST(scheduler->start_waits(now).empty());
  BOOST_TEST(metrics.value(yardhill::common::counter::forecasts_begun) == 0U);
}

BOOST_FIXTURE_TEST_CASE(free_capacity_that_is_smaller_than_the_demand_does_not_end_it, observing)
{
  wait_for(2, 32'000);
  play(seconds{2}, 2, 16, 9'999);
  BOOST_TEST(predictions() == 1U);
  play(milliseconds{200}, 2, 16, 10'000);
  BOOST_TEST(predictions() == 0U);
}

BOOST_FIXTURE_TEST_CASE(without_any_start_the_rate_is_unknown, observing)
{
  wait_for(2, 32'000);
  play(seconds{2}, 2, 16, 100'000);
  play(seconds{10}, 2, 0); // tasks that run for longer than that
  BOOST_TEST(predictions() == 0U);
}

BOOST_FIXTURE_TEST_CASE(jobs_that_earn_nothing_any_more_are_not_ahead, one_worker)
{
  add_worker(worker("w1"));
  submit_many(400); // 10 s of work; each job has some value for 7.2 s
  play(seconds{4});
  BOOST_TEST_REQUIRE(wait_of(2).has_value());
  // All of them are late by now, so that a new job would start before them.
  BOOST_TEST((*wait_of(2) < seconds{1}));
  play(seconds{4});
  BOOST_TEST(started.size() < 400U); // they still wait
  BOOST_TEST(!wait_of(2).has_value());
}

BOOST_FIXTURE_TEST_CASE(jobs_beyond_their_workspaces_share_are_not_ahead, one_worker)
{
  scheduler->set_workspaces({{"busy", {"busy", 1.0, {}}}});
  add_worker(worker("w1"));
  submit_many(200, k_usual, "busy");
  play(seconds{2});
  BOOST_TEST(started.size() < 200U);
  BOOST_TEST(!wait_of(2).has_value());
}

// ---- Burst ends

BOOST_FIXTURE_TEST_CASE(the_prediction_ends_with_the_backlog, one_worker)
{
  add_worker(worker("w1"));
  submit_many(150);
  play(seconds{2});
  const auto first = wait_of(2);
  BOOST_TEST_REQUIRE(first.has_value());
  BOOST_TEST(metrics.value(yardhill::common::counter::forecasts_begun) == 1U);
  BOOST_TEST(metrics.value(yardhill::common::gauge::forecast_wait_ms) > 0U);
  play(seconds{1});
  BOOST_TEST_REQUIRE(wait_of(2).has_value());
  BOOST_TEST((*wait_of(2) < *first));
  play(seconds{3});
  BOOST_TEST(!wait_of(2).has_value());
  BOOST_TEST(metrics.value(yardhill::common::gauge::forecast_wait_ms) == 0U);
}

BOOST_FIXTURE_TEST_CASE(an_old_observation_is_not_evidence, observing)
{
  wait_for(2, 32'000);
  play(seconds{3}, 2, 16);
  now += queue_forecast::k_max_age;
  BOOST_TEST(predictions() == 1U);
  now += milliseconds{1};
  BOOST_TEST(predictions() == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_priority_that_no_queue_has_any_more_has_no_prediction, observing)
{
  wait_for(2, 32'000);
  play(seconds{3}, 2, 16);
  waiting.clear();
  wait_for(1, 32'000);
  play(milliseconds{200}, 1, 16);
  BOOST_TEST(!forecast.predicted_waits(now).contains(2));
}

// ---- Owner new

BOOST_FIXTURE_TEST_CASE(a_new_owner_predicts_nothing_before_it_has_observed_starts, observing)
{
  wait_for(2, 32'000);
  play(seconds{5}, 2, 0); // the runs of the earlier owner are not accounted for yet
  play(milliseconds{1000}, 2, 16);
  BOOST_TEST(predictions() == 0U);
  play(milliseconds{200}, 2, 16);
  // The time without starts does not count.
  BOOST_TEST((wait_of(2) == seconds{2}));
}

BOOST_FIXTURE_TEST_CASE(an_owner_that_may_not_start_tasks_predicts_nothing, one_worker)
{
  add_worker(worker("w1"));
  submit_many(400);
  play(seconds{2});
  BOOST_TEST_REQUIRE(wait_of(2).has_value());
  scheduler->suspend_starts();
  play(milliseconds{200});
  BOOST_TEST(!wait_of(2).has_value());
  scheduler->allow_starts();
  play(milliseconds{900});
  BOOST_TEST(!wait_of(2).has_value());
  play(milliseconds{800});
  BOOST_TEST(wait_of(2).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
