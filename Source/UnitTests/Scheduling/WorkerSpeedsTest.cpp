// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Guards against a scheduler that does not notice that a quarter of the workers run at 0.55 times
// the normal speed and the others at 1.2 times: urgent tasks started on slow workers at random, and
// runs there counted as overdue. Also guards against one that sees such differences where there are
// none: estimates are wrong by up to 90 %, runs hang, and workers are slow for a while.

#include <algorithm>
#include <map>
#include <numeric>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "Scheduling/SchedulerHarness.h"
#include "Scheduling/WorkerSpeeds.h"

using namespace yardhill::scheduling;
using std::chrono::milliseconds;
using std::chrono::seconds;
using yardhill::common::gauge;

namespace
{
constexpr const char* k_rechecks = "recheck";
constexpr double k_slow = 0.55;
constexpr double k_fast = 1.2;
// Of jobs whose critical path is a second.
constexpr milliseconds k_little_slack{500};
constexpr milliseconds k_medium_slack{2500};
constexpr milliseconds k_much_slack{20000};

// Workers that each complete a run a second. The estimates are wrong by up to `error`.
struct observed_fleet
{
  explicit observed_fleet(std::size_t count, double largest_error = 0.9, unsigned seed = 1)
      : random(seed),
        estimate_per_actual(1.0 - largest_error, 1.0 + largest_error),
        speeds_of(count, 1.0)
  {
  }

  static worker_id id(std::size_t index) { return worker_id("w" + std::to_string(index)); }

  void slow_quarter()
  {
    for (std::size_t i = 0; i < speeds_of.size(); ++i)
      speeds_of[i] = i < speeds_of.size() / 4 ? k_slow : k_fast;
  }

  // One run on each worker, which end in any order.
  void round()
  {
    now += seconds{1};
    std::vector<std::size_t> order(speeds_of.size());
    std::iota(order.begin(), order.end(), 0U);
    std::shuffle(order.begin(), order.end(), random);
    for (const std::size_t i : order)
    {
      const duration actual = milliseconds{2300};
      const duration estimate =
          std::chrono::duration_cast<duration>(actual * estimate_per_actual(random));
      record(i, estimate, std::chrono::duration_cast<duration>(actual / speeds_of[i]));
    }
  }

  void record(std::size_t index, duration estimate, duration actual)
  {
    speeds.record(id(index), k_rechecks, runtimes.expected(k_rechecks, estimate), actual, now);
    runtimes.learn(k_rechecks, estimate, speeds.normalised(id(index), actual));
  }

  void play(int rounds)
  {
    for (int i = 0; i < rounds; ++i)
    {
      round();
      ever_active |= speeds.active();
    }
  }

  std::mt19937 random;
  std::uniform_real_distribution<double> estimate_per_actual;
  std::vector<double> speeds_of;
  runtime_model runtimes;
  worker_speeds speeds;
  time_point now{seconds{1000}};
  bool ever_active = false;
};

struct slow_quarter_of_80 : observed_fleet
{
  slow_quarter_of_80() : observed_fleet(80)
  {
    slow_quarter();
    play(60);
    BOOST_TEST_REQUIRE(speeds.active());
  }
};

// Eight workers of 16 processors under a scheduler. Each task occupies a whole worker and would
// take a second at speed 1.0.
struct scheduled_fleet : scheduler_harness
{
  static constexpr int k_workers = 8;

  explicit scheduled_fleet(const std::set<std::string>& slow)
  {
    for (int i = 1; i <= k_workers; ++i)
    {
      const std::string id = "w" + std::to_string(i);
      add_worker(worker(id));
      speed_of[id] = slow.empty() ? 1.0 : (slow.contains(id) ? k_slow : k_fast);
    }
  }

  static yardhill::jobs::step_spec whole_worker_step(std::uint32_t count)
  {
    return step_of(count, 16000);
  }

  // The slack to the objective that a job has which starts now.
  void set_slack(milliseconds slack)
  {
    yardhill::jobs::queue_policy policy;
    policy.max_attempts = 3;
    // The latency target counts from the jobs' acceptance, which the harness sets to time zero.
    policy.latency_target =
        std::chrono::duration_cast<milliseconds>(now.time_since_epoch()) + slack;
    set_policy(policy);
  }

  struct going
  {
    start_command request;
    time_point until;
  };

  void begin_started()
  {
    for (const start_command& each : starts)
    {
      answer_start(each, call_end::done);
      const auto time =
          std::chrono::duration_cast<duration>(seconds{1} / speed_of.at(each.worker.value));
      runs[each.worker.value].push_back({each, now + time});
    }
    starts.clear();
  }

  listed_end end_of(const start_command& request, end_number number) const
  {
    if (first_runs_fail && request.checkpoint.empty())
      return ended(number, request, run_outcome::failed, "checkpoint");
    return ended(number, request, run_outcome::done);
  }

  // Reports the runs that are over.
  void end_runs()
  {
    for (auto& [id, on_worker] : runs)
    {
      std::vector<listed_run> listed;
      std::vector<listed_end> over;
      for (const going& each : on_worker)
      {
        if (each.until <= now)
          over.push_back(end_of(each.request, ++latest_end[id]));
        else
          listed.push_back(running(each.request));
      }
      if (over.empty())
        continue;
      std::erase_if(on_worker, [this](const going& each) { return each.until <= now; });
      answer_hold(id, listed, over);
    }
  }

  void play(duration span)
  {
    for (const time_point end = now + span; now < end;)
    {
      pass(milliseconds{20});
      end_runs();
      commit_and_step();
      begin_started();
    }
  }

  // Keeps all workers busy for long enough to know their speeds, and waits until all are free.
  void observe() { observe(whole_worker_step(8)); }
  void observe(const yardhill::jobs::step_spec& step)
  {
    for (int i = 0; i < 60; ++i)
      scheduler->add_job(job("job-" + std::to_string(1000 + i), {step}), now);
    play(seconds{240});
    BOOST_TEST_REQUIRE(std::all_of(runs.begin(), runs.end(),
                                   [](const auto& each) { return each.second.empty(); }));
  }

  // Every worker restarts under its id.
  void restart_all()
  {
    pass(seconds{1});
    born = incarnation_start{seconds{1000}};
    for (const auto& [id, speed] : speed_of)
    {
      worker_info info = worker(id);
      info.born = born;
      scheduler->worker_entry(info, now);
      answer_hold(id, {});
    }
    commit_and_step();
    for (const auto& [id, speed] : speed_of)
      answer_hold(id, {});
    commit_and_step();
    BOOST_TEST_REQUIRE(metrics.value(yardhill::common::counter::workers_restarted) == 8U);
  }

  // The workers on which the tasks of a job with that slack start, in the order of the tasks.
  std::vector<std::string> workers_for(const yardhill::jobs::step_spec& step, milliseconds slack)
  {
    set_slack(slack);
    start_job(k_job, step);
    std::vector<std::string> workers;
    for (const start_command& each : starts)
      workers.push_back(each.worker.value);
    return workers;
  }

  bool first_runs_fail = false; // and leave a checkpoint
  std::map<std::string, double> speed_of;
  std::map<std::string, std::vector<going>> runs; // by worker
  std::map<std::string, end_number> latest_end;
};

struct first_two_slow : scheduled_fleet
{
  first_two_slow() : scheduled_fleet({"w1", "w2"}) {}
};

struct last_two_slow : scheduled_fleet
{
  last_two_slow() : scheduled_fleet({"w7", "w8"}) {}
};

// The slow worker w8 is the only one for steps that require its label.
struct labelled_slow_worker : last_two_slow
{
  labelled_slow_worker()
  {
    worker_info info = worker("w8");
    info.labels = {"label"};
    scheduler->worker_entry(info, now);
    observe();
    BOOST_TEST_REQUIRE(metrics.value(gauge::worker_speeds_used) == 8U);
    set_slack(k_much_slack);
  }

  static yardhill::jobs::step_spec labelled(std::int64_t cpu_millis, milliseconds estimate)
  {
    yardhill::jobs::step_spec spec = step_of(1, cpu_millis);
    spec.estimate = estimate;
    spec.required_label = "label";
    return spec;
  }

  // Half of w8 is used for about 7 s by a task that would take 4 s at normal speed, and w8 is
  // reserved for a large task after that. Whether a task with that estimate may start there now.
  bool may_start_before_the_large_task(milliseconds estimate)
  {
    start_job("0000000000000001", labelled(8000, milliseconds{4000}));
    BOOST_TEST_REQUIRE(starts.size() == 1U);
    answer_start(starts.front(), call_end::done);
    answer_hold("w8", {running(starts.front())});
    starts.clear();
    start_job("0000000000000002", labelled(16000, milliseconds{1000}));
    BOOST_TEST_REQUIRE(starts.empty());
    start_job("0000000000000003", labelled(8000, estimate));
    return starts.size() == 1;
  }
};

struct all_alike : scheduled_fleet
{
  all_alike() : scheduled_fleet({}) {}
};
} // namespace

BOOST_AUTO_TEST_SUITE(WorkerSpeedsTest)

BOOST_FIXTURE_TEST_CASE(the_ratios_of_a_slow_quarter_are_learned, slow_quarter_of_80)
{
  double slow = 0.0;
  double fast = 0.0;
  for (std::size_t i = 0; i < 80; ++i)
  {
    const double ratio = speeds.ratio(id(i));
    (i < 20 ? slow : fast) += ratio / (i < 20 ? 20 : 60);
    // No slow worker is taken for a fast one, or the reverse.
    BOOST_TEST((i < 20) == (ratio < 0.8));
  }
  BOOST_TEST(fast / slow > 0.9 * k_fast / k_slow);
  BOOST_TEST(fast / slow < 1.1 * k_fast / k_slow);
  BOOST_TEST(speeds.ratios_used() == 80U);
}

BOOST_AUTO_TEST_CASE(alike_workers_with_wrong_estimates_stay_inactive)
{
  for (const std::size_t workers : {80U, 350U})
  {
    observed_fleet fleet(workers);
    fleet.play(1000);
    BOOST_TEST(!fleet.ever_active);
    BOOST_TEST(fleet.speeds.ratio(observed_fleet::id(0)) == 1.0);
    BOOST_TEST(fleet.speeds.ratios_used() == 0U);
  }
}

// A quarter of eight workers is two workers, which often differ by chance.
BOOST_AUTO_TEST_CASE(few_alike_workers_with_wrong_estimates_stay_inactive)
{
  for (unsigned seed = 1; seed <= 40; ++seed)
  {
    observed_fleet fleet(seed % 2 == 0 ? 8 : 16, 0.9, seed);
    fleet.play(1000);
    BOOST_TEST(!fleet.ever_active, "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(nothing_is_concluded_from_few_runs_or_few_workers)
{
  observed_fleet few_runs(80, 0.0);
  few_runs.slow_quarter();
  few_runs.play(15);
  BOOST_TEST(!few_runs.ever_active);
  observed_fleet few_workers(4, 0.0);
  few_workers.slow_quarter();
  few_workers.play(200);
  BOOST_TEST(!few_workers.ever_active);
}

BOOST_FIXTURE_TEST_CASE(hangs_hardly_change_a_ratio, slow_quarter_of_80)
{
  const double before = speeds.ratio(id(79));
  record(79, milliseconds{2300}, seconds{120});
  record(79, milliseconds{2300}, seconds{120});
  play(2);
  BOOST_TEST(speeds.ratio(id(79)) > 0.9 * before);
}

BOOST_AUTO_TEST_CASE(hangs_on_some_workers_make_no_difference_between_all)
{
  observed_fleet fleet(80);
  for (int i = 0; i < 300; ++i)
  {
    fleet.play(1);
    // Every seventh run of some workers hangs.
    for (std::size_t worker = 0; i % 7 == 0 && worker < 20; ++worker)
      fleet.record(worker, milliseconds{2300}, seconds{60});
  }
  BOOST_TEST(!fleet.ever_active);
}

BOOST_AUTO_TEST_CASE(a_slow_spell_that_passes_does_not_count_as_a_difference)
{
  observed_fleet fleet(80);
  fleet.play(100);
  std::fill_n(fleet.speeds_of.begin(), 20, 0.5);
  fleet.play(20);
  std::fill_n(fleet.speeds_of.begin(), 20, 1.0);
  fleet.play(200);
  BOOST_TEST(!fleet.ever_active);
}

BOOST_FIXTURE_TEST_CASE(a_slow_spell_of_a_fast_worker_is_forgotten, slow_quarter_of_80)
{
  const double before = speeds.ratio(id(79));
  speeds_of[79] = 0.2;
  play(10);
  BOOST_TEST(speeds.ratio(id(79)) > 0.75 * before);
  speeds_of[79] = k_fast;
  play(64);
  BOOST_TEST(speeds.ratio(id(79)) > 0.85 * before);
}

BOOST_FIXTURE_TEST_CASE(the_ratios_are_no_longer_used_once_all_are_alike, slow_quarter_of_80)
{
  std::fill(speeds_of.begin(), speeds_of.end(), 1.0);
  play(100);
  BOOST_TEST(!speeds.active());
  BOOST_TEST(speeds.ratio(id(0)) == 1.0);
}

// Guards against ratios and expected run times that grow or shrink together without bound, since
// each is computed from the other.
BOOST_FIXTURE_TEST_CASE(ratios_and_expected_run_times_do_not_drift, slow_quarter_of_80)
{
  const double ratio = speeds.ratio(id(79));
  play(5000);
  BOOST_TEST(speeds.active());
  BOOST_TEST(speeds.ratio(id(79)) > 0.75 * ratio);
  BOOST_TEST(speeds.ratio(id(79)) < 1.33 * ratio);
}

// Guards against queue run times that depend on how many of the latest runs were on slow workers.
BOOST_AUTO_TEST_CASE(a_slow_workers_runs_are_not_attributed_to_the_queue)
{
  observed_fleet exact(80, 0.0);
  exact.slow_quarter();
  exact.play(100);
  BOOST_TEST_REQUIRE(exact.speeds.active());
  const duration estimate = milliseconds{1000};
  const duration before = exact.runtimes.expected(k_rechecks, estimate);
  for (int i = 0; i < 100; ++i)
    exact.record(0, estimate, std::chrono::duration_cast<duration>(estimate / k_slow));
  const duration after = exact.runtimes.expected(k_rechecks, estimate);
  BOOST_TEST(static_cast<double>(after.count()) / static_cast<double>(before.count()) < 1.1);
  BOOST_TEST(static_cast<double>(after.count()) / static_cast<double>(before.count()) > 0.9);
}

// Guards against workers that seem slow because they run another queue's tasks, whose estimates are
// wrong by more and whose average run time therefore exceeds the typical one by more.
BOOST_AUTO_TEST_CASE(workers_that_run_different_queues_are_alike)
{
  observed_fleet fleet(80, 0.9);
  std::uniform_real_distribution<double> small_error(0.9, 1.1);
  bool ever_active = false;
  for (int i = 0; i < 500; ++i)
  {
    fleet.now += seconds{1};
    for (std::size_t worker = 0; worker < 80; ++worker)
    {
      const std::string queue = worker < 40 ? k_rechecks : "query";
      const double factor =
          worker < 40 ? fleet.estimate_per_actual(fleet.random) : small_error(fleet.random);
      const duration actual = milliseconds{1000};
      const duration estimate = std::chrono::duration_cast<duration>(actual * factor);
      fleet.speeds.record(observed_fleet::id(worker), queue,
                          fleet.runtimes.expected(queue, estimate), actual, fleet.now);
      fleet.runtimes.learn(queue, estimate, actual);
    }
    ever_active |= fleet.speeds.active();
  }
  BOOST_TEST(!ever_active);
}

// Guards against ratios that are attributed to the queues while slow and fast workers run tasks of
// different queues, as placement by speed brings about.
BOOST_FIXTURE_TEST_CASE(ratios_stay_when_slow_workers_run_another_queue, slow_quarter_of_80)
{
  for (int i = 0; i < 200; ++i)
  {
    now += seconds{1};
    for (std::size_t worker = 0; worker < 80; ++worker)
    {
      const std::string queue = worker < 20 ? k_rechecks : "query";
      const duration normal = milliseconds{1000};
      const auto estimate =
          std::chrono::duration_cast<duration>(normal * estimate_per_actual(random));
      const auto actual = std::chrono::duration_cast<duration>(normal / speeds_of[worker]);
      speeds.record(id(worker), queue, runtimes.expected(queue, estimate), actual, now);
      runtimes.learn(queue, estimate, speeds.normalised(id(worker), actual));
    }
  }
  BOOST_TEST(speeds.active());
  BOOST_TEST(speeds.ratio(id(0)) < 0.7);
  BOOST_TEST(speeds.ratio(id(79)) > 1.0);
}

BOOST_FIXTURE_TEST_CASE(a_forgotten_worker_loses_its_ratio, slow_quarter_of_80)
{
  BOOST_TEST_REQUIRE(speeds.ratio(id(0)) < 0.8);
  speeds.forget(id(0));
  BOOST_TEST(speeds.ratio(id(0)) == 1.0);
}

BOOST_AUTO_TEST_CASE(the_preference_follows_the_slack)
{
  const duration path = seconds{2};
  BOOST_TEST(worker_speeds::preference(seconds{1}, path, false) == 1.0);
  BOOST_TEST(worker_speeds::preference(seconds{4}, path, false) == 0.0);
  BOOST_TEST(worker_speeds::preference(seconds{10}, path, false) == -1.0);
  BOOST_TEST(worker_speeds::preference(seconds{4}, path, true) == 1.0);
  BOOST_TEST(worker_speeds::preference(seconds{10}, path, true) == -1.0);
  BOOST_TEST(worker_speeds::preference(seconds{1}, duration{0}, true) == 0.0);
}

BOOST_FIXTURE_TEST_CASE(a_task_with_little_slack_starts_on_a_fast_worker, first_two_slow)
{
  // Where nothing is known the first of equal workers is chosen.
  const auto unknown = workers_for(whole_worker_step(1), k_little_slack);
  BOOST_TEST_REQUIRE(unknown.size() == 1U);
  BOOST_TEST(unknown.front() == "w1");
  begin_started();
  observe();
  BOOST_TEST_REQUIRE(metrics.value(gauge::worker_speeds_used) == 8U);
  set_slack(k_little_slack);
  start_job(k_other_job, whole_worker_step(1));
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  BOOST_TEST(speed_of.at(starts.front().worker.value) == k_fast);
}

BOOST_FIXTURE_TEST_CASE(a_task_with_much_slack_starts_on_a_slow_worker, last_two_slow)
{
  observe();
  const auto chosen = workers_for(whole_worker_step(1), k_much_slack);
  BOOST_TEST_REQUIRE(chosen.size() == 1U);
  BOOST_TEST(speed_of.at(chosen.front()) == k_slow);
}

BOOST_FIXTURE_TEST_CASE(the_last_task_of_a_step_starts_on_a_fast_worker, first_two_slow)
{
  observe();
  const auto chosen = workers_for(whole_worker_step(2), k_medium_slack);
  BOOST_TEST_REQUIRE(chosen.size() == 2U);
  BOOST_TEST(speed_of.at(chosen.front()) == k_slow);
  BOOST_TEST(speed_of.at(chosen.back()) == k_fast);
}

// Guards against late jobs that take the fast workers from jobs that can still be in time.
BOOST_FIXTURE_TEST_CASE(a_task_of_a_late_job_starts_on_a_slow_worker, last_two_slow)
{
  observe();
  const auto chosen = workers_for(whole_worker_step(1), milliseconds{-500});
  BOOST_TEST_REQUIRE(chosen.size() == 1U);
  BOOST_TEST(speed_of.at(chosen.front()) == k_slow);
}

// Guards against fast workers that are occupied for days by tasks that have no end to be in time.
BOOST_FIXTURE_TEST_CASE(the_speed_is_ignored_for_long_running_tasks, first_two_slow)
{
  observe();
  yardhill::jobs::step_spec step = whole_worker_step(1);
  step.long_running = true;
  const auto chosen = workers_for(step, k_little_slack);
  BOOST_TEST_REQUIRE(chosen.size() == 1U);
  BOOST_TEST(chosen.front() == "w1");
}

// Guards against a speed term that outweighs the rack of the data, which is slower to reach from
// any other rack than a slow worker is.
BOOST_FIXTURE_TEST_CASE(the_rack_of_the_data_outweighs_the_speed, first_two_slow)
{
  worker_info near = worker("w1");
  near.rack = "near";
  scheduler->worker_entry(near, now);
  observe();
  yardhill::jobs::step_spec step = whole_worker_step(1);
  step.data_rack = "near";
  const auto chosen = workers_for(step, k_little_slack);
  BOOST_TEST_REQUIRE(chosen.size() == 1U);
  BOOST_TEST(chosen.front() == "w1");
}

BOOST_FIXTURE_TEST_CASE(placement_is_unchanged_where_all_workers_are_alike, all_alike)
{
  observe();
  BOOST_TEST(metrics.value(gauge::worker_speeds_used) == 0U);
  const auto urgent = workers_for(whole_worker_step(2), k_little_slack);
  BOOST_TEST((urgent == std::vector<std::string>{"w1", "w2"}));
}

// Guards against copies of runs that are in time for the slow worker on which they are.
BOOST_FIXTURE_TEST_CASE(a_run_is_overdue_later_on_a_slow_worker, last_two_slow)
{
  observe();
  yardhill::jobs::step_spec step = whole_worker_step(1);
  step.speculative = true;
  const auto chosen = workers_for(step, k_much_slack);
  BOOST_TEST_REQUIRE(chosen.size() == 1U);
  BOOST_TEST_REQUIRE(speed_of.at(chosen.front()) == k_slow);
  const start_command first = starts.front();
  answer_start(first, call_end::done);
  starts.clear();
  const auto wait = [&](milliseconds time)
  {
    pass(time);
    answer_hold(first.worker.value, {running(first)});
    commit_and_step();
  };
  wait(milliseconds{1700});
  BOOST_TEST(starts.empty());
  wait(milliseconds{1300});
  BOOST_TEST(starts.size() == 1U);
}

// Guards against backfilling that ends after a large task on a slow worker should have begun.
BOOST_FIXTURE_TEST_CASE(a_task_that_a_slow_worker_cannot_end_in_time_does_not_start_there,
                        labelled_slow_worker)
{
  BOOST_TEST(!may_start_before_the_large_task(milliseconds{5000}));
}

// Guards against capacity that stays free because a run on a slow worker is expected to end early.
BOOST_FIXTURE_TEST_CASE(a_run_is_expected_to_end_later_on_a_slow_worker, labelled_slow_worker)
{
  BOOST_TEST(may_start_before_the_large_task(milliseconds{3000}));
}

// Guards against run times of a queue that depend on the workers on which its latest tasks ran:
// late runs on fast workers would not be noticed.
BOOST_FIXTURE_TEST_CASE(many_runs_on_a_slow_worker_do_not_change_those_of_the_queue,
                        labelled_slow_worker)
{
  for (int i = 0; i < 40; ++i)
    scheduler->add_job(
        job("labelled-" + std::to_string(1000 + i), {labelled(16000, milliseconds{1000})}), now);
  play(seconds{90});
  yardhill::jobs::step_spec step = whole_worker_step(1);
  step.speculative = true;
  const auto chosen = workers_for(step, k_little_slack);
  BOOST_TEST_REQUIRE(chosen.size() == 1U);
  BOOST_TEST_REQUIRE(speed_of.at(chosen.front()) == k_fast);
  const start_command first = starts.front();
  answer_start(first, call_end::done);
  starts.clear();
  pass(milliseconds{1500});
  answer_hold(first.worker.value, {running(first)});
  commit_and_step();
  BOOST_TEST(starts.size() == 1U);
}

// Guards against gang members whose end is that of the slowest member.
BOOST_FIXTURE_TEST_CASE(nothing_is_learned_from_gangs, last_two_slow)
{
  yardhill::jobs::step_spec step = whole_worker_step(8);
  step.gang = true;
  observe(step);
  BOOST_TEST(metrics.value(gauge::worker_speeds_used) == 0U);
}

// Guards against runs that are short because an earlier run did a part of the work.
BOOST_FIXTURE_TEST_CASE(nothing_is_learned_from_runs_that_begin_at_a_checkpoint, last_two_slow)
{
  first_runs_fail = true;
  yardhill::jobs::step_spec step = whole_worker_step(8);
  step.checkpointing = true;
  observe(step);
  BOOST_TEST(metrics.value(gauge::worker_speeds_used) == 0U);
}

// Guards against memory that grows with each worker that has ever been seen.
BOOST_FIXTURE_TEST_CASE(the_ratio_of_a_worker_that_is_gone_is_forgotten, last_two_slow)
{
  observe();
  scheduler->worker_entry_gone(worker_id("w7"), now);
  for (int i = 0; i < 30; ++i)
  {
    fail_hold("w7", call_end::unanswered);
    pass(seconds{1});
    commit_and_step();
  }
  start_job(k_job, whole_worker_step(1));
  begin_started();
  play(seconds{4});
  BOOST_TEST(metrics.value(gauge::worker_speeds_used) == 7U);
}

// Guards against deployments whose workers restart often and whose ratios would never be known.
BOOST_FIXTURE_TEST_CASE(a_restarted_worker_keeps_its_ratio, last_two_slow)
{
  observe();
  restart_all();
  const auto chosen = workers_for(whole_worker_step(1), k_much_slack);
  BOOST_TEST_REQUIRE(chosen.size() == 1U);
  BOOST_TEST(speed_of.at(chosen.front()) == k_slow);
}

BOOST_AUTO_TEST_SUITE_END()
