// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Guards against a scheduler that does not notice that a quarter of the workers run at 0.55 times
// the normal speed and the others at 1.2 times: urgent tasks started on slow workers at random, and
// runs there counted as overdue. Also guards against one that sees such differences where there are
// none: estimates are wrong by up to 90 %, runs hang, and workers are slow for a while.

#include <algorithm>
#include <numeric>
#include <random>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "Scheduling/RuntimeModel.h"
#include "Scheduling/WorkerSpeeds.h"

using namespace yardhill::scheduling;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr const char* k_rechecks = "recheck";
constexpr double k_slow = 0.55;
constexpr double k_fast = 1.2;

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

// Guards against ratios that are attributed to the queues once slow and fast workers no longer run
// tasks of the same queues, as placement by speed brings about.
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

BOOST_AUTO_TEST_SUITE_END()
