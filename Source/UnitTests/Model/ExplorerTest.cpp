// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <algorithm>
#include <cstdlib>
#include <string>

#include <boost/test/unit_test.hpp>

#include "Common/PlayLog.h"
#include "Model/CellExplorer.h"

using namespace yardhill::model;

namespace
{
// Seeds that CI plays; YARDHILL_SEEDS=FIRST,COUNT plays others by hand.
struct seed_range
{
  std::uint64_t first = 1;
  std::uint64_t count = 150;
};

seed_range seeds()
{
  seed_range range;
  if (const char* const given = std::getenv("YARDHILL_SEEDS"))
  {
    const std::string text = given;
    const std::size_t comma = text.find(',');
    range.first = std::stoull(text.substr(0, comma));
    range.count = std::stoull(text.substr(comma + 1));
  }
  return range;
}

std::string told(std::uint64_t seed, const exploration& played)
{
  std::string text = "seed " + std::to_string(seed) + ":";
  for (const std::string& each : played.troubles)
    text += "\n  " + each;
  for (const std::string& each : played.violations)
    text += "\n  " + each;
  return text;
}
} // namespace

BOOST_AUTO_TEST_SUITE(ExplorerTest)

BOOST_AUTO_TEST_CASE(no_seed_breaks_a_promise)
{
  if (std::getenv("YARDHILL_LOG") != nullptr)
    yardhill::common::open_play_log("explorer");
  const seed_range range = seeds();
  std::size_t accepted = 0;
  std::size_t counted = 0;
  std::size_t unknown_counts = 0;
  for (std::uint64_t seed = range.first; seed < range.first + range.count; ++seed)
  {
    const exploration played = explore_cell(seed);
    accepted += played.accepted;
    counted += played.counted;
    unknown_counts += played.unknown_counts;
    BOOST_TEST(played.violations.empty(), told(seed, played));
  }
  // The plays were about something.
  BOOST_TEST(accepted > range.count * 30);
  BOOST_TEST_MESSAGE(counted << " counts told, " << unknown_counts << " not known");
  BOOST_TEST(counted > range.count * 500);
}

// Of both, a lasting or other job that crashes nothing was given up, since its workers had crashed
// twice: at the first of these crashes another run had begun later.
BOOST_AUTO_TEST_CASE(an_innocent_job_is_not_given_up)
{
  for (const std::uint64_t seed : {12382U, 12686U})
  {
    const exploration played = explore_cell(seed);
    BOOST_TEST(played.violations.empty(), told(seed, played));
  }
}

// Workers restarted in crowds, several times each: jobs that crash nothing were given up, one of
// them after five starts that nobody had answered.
BOOST_AUTO_TEST_CASE(an_innocent_job_is_not_given_up_where_many_workers_restart)
{
  for (const std::uint64_t seed :
       {17U, 23U, 31U, 72U, 79U, 96U, 111U, 114U, 122U, 950015U, 950016U, 950031U, 950049U, 950058U,
        950107U, 950113U, 950124U, 950150U, 950155U})
  {
    const exploration played = explore_cell(seed, omission::none, restarts::same_id);
    const auto given_up = [](const std::string& each)
    { return each.starts_with("INNOCENT") || each.starts_with("LOST"); };
    BOOST_TEST(std::none_of(played.violations.begin(), played.violations.end(), given_up),
               told(seed, played));
  }
}

// Owners were lost around a task's tries: what an owner knew of a worker that had ended went with
// its claim, so that the count began at the third start and the sixth one came.
BOOST_AUTO_TEST_CASE(a_task_that_crashes_its_workers_is_counted_over_owners_lost_in_a_burst)
{
  for (const std::uint64_t seed : {11845U, 13625U, 910427U, 950291U})
  {
    const exploration played = explore_cell(seed);
    BOOST_TEST(played.violations.empty(), told(seed, played));
  }
}

// No owner lived long enough to state when the leases of a worker that was gone would be over, so
// its tasks waited for seconds after the last owner had come.
BOOST_AUTO_TEST_CASE(a_lost_workers_tasks_run_again_behind_owners_lost_in_a_burst)
{
  for (const std::uint64_t seed : {120U, 20434U, 950327U, 950505U, 910425U})
  {
    const exploration played = explore_cell(seed);
    BOOST_TEST(played.violations.empty(), told(seed, played));
  }
}

// The same seeds, and workers that start again under their ids besides.
BOOST_AUTO_TEST_CASE(no_seed_breaks_a_promise_when_workers_keep_their_ids)
{
  if (std::getenv("YARDHILL_LOG") != nullptr)
    yardhill::common::open_play_log("explorer-restarts");
  const seed_range range = seeds();
  for (std::uint64_t seed = range.first; seed < range.first + range.count; ++seed)
  {
    const exploration played = explore_cell(seed, omission::none, restarts::same_id);
    BOOST_TEST(played.violations.empty(), told(seed, played));
  }
}

// Several owners that order workers of one cell about, each its own.
BOOST_AUTO_TEST_CASE(no_seed_breaks_a_promise_in_several_partitions)
{
  if (std::getenv("YARDHILL_LOG") != nullptr)
    yardhill::common::open_play_log("explorer-partitions");
  const seed_range range = seeds();
  constexpr std::uint64_t k_share = 3; // of the seeds, since these plays are long
  for (std::uint64_t seed = range.first; seed < range.first + (range.count + k_share - 1) / k_share;
       ++seed)
  {
    const exploration played = explore_cell(seed, omission::none, restarts::none, 2 + seed % 2);
    BOOST_TEST(played.violations.empty(), told(seed, played));
  }
}

// Without the claims of workers a new owner would not know whom to ask: seeds have to show it, or
// the explorer is blind there.
BOOST_AUTO_TEST_CASE(leaving_out_the_claims_of_workers_is_noticed)
{
  // It takes a takeover while the entry of a worker has lapsed: about one seed in 270 has one.
  std::size_t noticed = 0;
  for (std::uint64_t seed = 1500; seed <= 2100 && noticed == 0; ++seed)
    noticed += explore_cell(seed, omission::claims_omitted).violations.empty() ? 0 : 1;
  BOOST_TEST(noticed > 0U);
}

BOOST_AUTO_TEST_CASE(leaving_out_that_steps_have_begun_is_noticed)
{
  std::size_t noticed = 0;
  for (std::uint64_t seed = 1; seed <= 120 && noticed == 0; ++seed)
    noticed += explore_cell(seed, omission::progress_omitted).violations.empty() ? 0 : 1;
  BOOST_TEST(noticed > 0U);
}

BOOST_AUTO_TEST_CASE(the_same_seed_gives_the_same_play)
{
  const exploration one = explore_cell(7);
  const exploration again = explore_cell(7);
  BOOST_TEST(one.starts == again.starts);
  BOOST_TEST(one.accepted == again.accepted);
  BOOST_TEST(one.troubles == again.troubles, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
