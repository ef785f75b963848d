// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>

#include "Model/VirtualTime.h"
#include "Node/OwnerRow.h"
#include "Node/StoreClock.h"

using namespace yardhill;
using adapter::store_time;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr store_time k_begin{milliseconds{51230}};

// A store clock that runs at the speed of the local one; replies take some time to arrive.
struct shared_clock
{
  model::virtual_time time;
  node::store_clock clock{time};
  common::time_point begin = time.now();

  void pass(milliseconds span) { time.run_until(time.now() + span); }
  store_time shown() const
  {
    return k_begin + std::chrono::floor<milliseconds>(time.now() - begin);
  }
  // A reply arrives now; the store sent it `reply_transit` ago and received the request after
  // `request_transit`.
  void hear(milliseconds reply_transit, milliseconds request_transit = milliseconds{0})
  {
    clock.heard(shown() - reply_transit, time.now() - reply_transit - request_transit);
  }
};

// A machine that has received one reply of the store, with the given transit times.
struct machine
{
  machine(seconds ahead, milliseconds request_transit, milliseconds reply_transit)
      : ahead_of_store(ahead)
  {
    time.run_until(common::time_point(k_heard.time_since_epoch() + ahead + reply_transit));
    clock.heard(k_heard, time.now() - reply_transit - request_transit);
  }

  common::time_point at(store_time moment) const
  {
    return common::time_point(moment.time_since_epoch() + ahead_of_store);
  }

  static constexpr store_time k_heard{seconds{300}};
  seconds ahead_of_store;
  model::virtual_time time;
  node::store_clock clock{time};
};

struct two_machines
{
  machine ours{seconds{700}, milliseconds{20}, milliseconds{40}};
  machine theirs{seconds{-50}, milliseconds{90}, milliseconds{0}};
};

constexpr store_time k_moment{seconds{350}};
} // namespace

BOOST_AUTO_TEST_SUITE(StoreClockTest)

BOOST_FIXTURE_TEST_CASE(nothing_is_known_before_the_first_reply, shared_clock)
{
  BOOST_TEST(!clock.earliest_store_time(time.now()).has_value());
  BOOST_TEST(!clock.latest_store_time(time.now()).has_value());
  BOOST_TEST(!clock.latest_local_time(k_begin).has_value());
  BOOST_TEST(!clock.age_of(k_begin).has_value());
}

BOOST_FIXTURE_TEST_CASE(the_reply_with_the_shortest_transit_counts, shared_clock)
{
  hear(milliseconds{40});
  hear(milliseconds{2});
  hear(milliseconds{300});
  pass(milliseconds{1000});
  BOOST_TEST((clock.earliest_store_time(time.now()) == shown() - milliseconds{2}));
  BOOST_TEST((clock.earliest_store_time(begin) == k_begin - milliseconds{2}));
  BOOST_TEST((clock.age_of(k_begin) == milliseconds{998}));
}

BOOST_FIXTURE_TEST_CASE(the_request_with_the_shortest_transit_counts, shared_clock)
{
  hear(milliseconds{0}, milliseconds{60});
  const auto before = clock.latest_store_time(time.now());
  hear(milliseconds{0}, milliseconds{5000});
  BOOST_TEST((clock.latest_store_time(time.now()) == before));
  hear(milliseconds{1}, milliseconds{1});
  BOOST_TEST((clock.latest_store_time(time.now()) < before));
  BOOST_TEST((clock.latest_store_time(time.now()) >= shown()));
}

BOOST_FIXTURE_TEST_CASE(a_store_time_in_the_future_has_age_zero, shared_clock)
{
  hear(milliseconds{0});
  BOOST_TEST((clock.age_of(shown() + milliseconds{5}) == common::duration{0}));
}

// The local clock runs fast, so the store's falls behind; old replies would keep the estimate
// ahead for ever.
BOOST_FIXTURE_TEST_CASE(old_replies_do_not_count, shared_clock)
{
  hear(milliseconds{0});
  for (int i = 1; i <= 30; ++i)
  {
    pass(seconds{1});
    hear(milliseconds{2 * i});
  }
  const auto now = clock.earliest_store_time(time.now());
  BOOST_TEST_REQUIRE(now.has_value());
  BOOST_TEST((shown() - *now >= milliseconds{20}));
}

BOOST_FIXTURE_TEST_CASE(a_new_reply_replaces_an_expired_one, shared_clock)
{
  hear(milliseconds{0}, milliseconds{60});
  pass(seconds{91});
  const auto before = clock.latest_store_time(time.now());
  hear(milliseconds{1000}, milliseconds{1000});
  BOOST_TEST((clock.latest_store_time(time.now()) > before));
}

BOOST_FIXTURE_TEST_CASE(without_replies_the_latest_offset_is_kept, shared_clock)
{
  hear(milliseconds{3});
  pass(seconds{60});
  BOOST_TEST((clock.earliest_store_time(time.now()) == shown() - milliseconds{3}));
}

// Holds whenever between request and reply the store read its clock.
BOOST_FIXTURE_TEST_CASE(a_time_passed_to_another_machine_is_never_too_early, two_machines)
{
  const auto stored = ours.clock.latest_store_time(ours.at(k_moment));
  BOOST_TEST_REQUIRE(stored.has_value());
  BOOST_TEST((*stored >= k_moment));
  BOOST_TEST((*stored <= k_moment + milliseconds{22}));
  const auto read = theirs.clock.latest_local_time(*stored);
  BOOST_TEST_REQUIRE(read.has_value());
  BOOST_TEST((*read >= theirs.at(k_moment)));
  BOOST_TEST((*read <= theirs.at(k_moment) + milliseconds{25}));
}

BOOST_FIXTURE_TEST_CASE(a_claim_passes_its_end_to_other_machines, two_machines)
{
  scheduling::worker_claim claim;
  claim.address = {"10.0.0.1", 80};
  claim.over = ours.at(k_moment);
  const auto read = node::worker_claim_from(node::to_row_text(claim, ours.clock), theirs.clock);
  BOOST_TEST_REQUIRE(read.has_value());
  BOOST_TEST_REQUIRE(read->over.has_value());
  BOOST_TEST((*read->over >= theirs.at(k_moment)));
  BOOST_TEST((*read->over <= theirs.at(k_moment) + milliseconds{25}));
  BOOST_TEST(!read->closed);
}

// Rows that are written, or read, by an instance that does not know the store's clock yet.
BOOST_FIXTURE_TEST_CASE(a_claim_is_read_without_its_end_where_a_clock_is_not_known, two_machines)
{
  scheduling::worker_claim claim;
  claim.address = {"10.0.0.1", 80};
  claim.over = ours.at(k_moment);
  const node::store_clock unknown{ours.time};
  const auto untold = node::worker_claim_from(node::to_row_text(claim, unknown), theirs.clock);
  BOOST_TEST(!untold->over.has_value());
  const auto unread = node::worker_claim_from(node::to_row_text(claim, ours.clock), unknown);
  BOOST_TEST(!unread->over.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
