// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>

#include "Node/OwnerRow.h"

using namespace yardhill;
using node::store_clock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
// Our clock less the store's is 700 s for this machine, and -50 s for the other.
struct two_machines
{
  two_machines()
  {
    ours.heard(milliseconds{300000}, ours_at(300) - milliseconds{20},
               ours_at(300) + milliseconds{40});
    theirs.heard(milliseconds{400000}, theirs_at(400) - milliseconds{90}, theirs_at(400));
  }

  static common::time_point ours_at(std::int64_t store_s) { return at(store_s + 700); }
  static common::time_point theirs_at(std::int64_t store_s) { return at(store_s - 50); }
  static common::time_point at(std::int64_t our_s) { return common::time_point(seconds{our_s}); }

  store_clock ours;
  store_clock theirs;
};
} // namespace

BOOST_AUTO_TEST_SUITE(StoreClockTest)

BOOST_AUTO_TEST_CASE(nothing_is_told_before_the_store_has_said_its_time)
{
  store_clock clock;
  clock.heard(std::nullopt, two_machines::at(1), two_machines::at(2));
  BOOST_TEST(!clock.store_time_at(two_machines::at(3)).has_value());
  BOOST_TEST(!clock.time_at(milliseconds{5}).has_value());
}

// Wherever in its way the call met the store.
BOOST_FIXTURE_TEST_CASE(a_moment_told_to_another_machine_is_never_too_early, two_machines)
{
  const auto stored = ours.store_time_at(ours_at(350));
  BOOST_TEST_REQUIRE(stored.has_value());
  BOOST_TEST((*stored >= seconds{350}));
  BOOST_TEST((*stored <= seconds{350} + milliseconds{22}));
  const auto read = theirs.time_at(*stored);
  BOOST_TEST_REQUIRE(read.has_value());
  BOOST_TEST((*read >= theirs_at(350)));
  BOOST_TEST((*read <= theirs_at(350) + milliseconds{25}));
}

BOOST_FIXTURE_TEST_CASE(the_call_with_the_shortest_way_counts, two_machines)
{
  const auto before = ours.store_time_at(ours_at(350));
  ours.heard(milliseconds{310000}, ours_at(305), ours_at(310));
  BOOST_TEST((ours.store_time_at(ours_at(350)) == before));
  ours.heard(milliseconds{311000}, ours_at(311) - milliseconds{1}, ours_at(311) + milliseconds{1});
  BOOST_TEST((ours.store_time_at(ours_at(350)) < before));
}

// Clocks drift.
BOOST_FIXTURE_TEST_CASE(an_old_word_gives_way_to_any_new_one, two_machines)
{
  const auto before = ours.store_time_at(ours_at(500));
  ours.heard(milliseconds{390000}, ours_at(389), ours_at(391));
  BOOST_TEST((ours.store_time_at(ours_at(500)) > before));
}

BOOST_FIXTURE_TEST_CASE(a_claim_tells_other_machines_when_it_is_over, two_machines)
{
  scheduling::worker_claim claim;
  claim.address = {"10.0.0.1", 80};
  claim.over = ours_at(350);
  const auto read = node::worker_claim_from(node::to_row_text(claim, ours), theirs);
  BOOST_TEST_REQUIRE(read.has_value());
  BOOST_TEST_REQUIRE(read->over.has_value());
  BOOST_TEST((*read->over >= theirs_at(350)));
  BOOST_TEST((*read->over <= theirs_at(350) + milliseconds{25}));
  BOOST_TEST(!read->closed);
}

// Rows of instances that do not know the clock yet, and read by such.
BOOST_FIXTURE_TEST_CASE(a_claim_is_read_without_its_end_where_a_clock_is_not_known, two_machines)
{
  scheduling::worker_claim claim;
  claim.address = {"10.0.0.1", 80};
  claim.over = ours_at(350);
  const store_clock unknown;
  BOOST_TEST(!node::worker_claim_from(node::to_row_text(claim, unknown), theirs)->over.has_value());
  BOOST_TEST(!node::worker_claim_from(node::to_row_text(claim, ours), unknown)->over.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
