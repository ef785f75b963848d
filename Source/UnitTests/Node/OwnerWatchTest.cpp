// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>

#include "Model/VirtualTime.h"
#include "Node/OwnerWatch.h"
#include "Scheduling/SchedulerOptions.h"

using namespace yardhill;
using std::chrono::milliseconds;

namespace
{
struct watched_owner
{
  model::virtual_time time;
  common::time_point healthy = time.now();
  node::ownership_options options;
  node::store_clock clock{time};
  node::owner_watch watch{time, clock, {"instance-1", "life-1"}, "cell", options};

  void see(const std::string& holder, const std::string& life, adapter::row_version version,
           std::uint64_t epoch = 0, std::uint64_t renewal = 0)
  {
    node::owner_row row;
    row.holder = holder;
    row.life = life;
    row.epoch = epoch;
    row.renewal = renewal;
    watch.take_in({{node::k_owners_table, "cell", "owner"}, node::to_row_text(row), version});
  }

  bool due(bool stronger_peer = false) const
  {
    return watch.takeover_due(time.now(), healthy, stronger_peer);
  }
  void pass(common::duration span) { time.run_until(time.now() + span); }
};
} // namespace

BOOST_AUTO_TEST_SUITE(OwnerWatchTest)

BOOST_FIXTURE_TEST_CASE(a_partition_without_an_owner_is_taken_at_once, watched_owner)
{
  BOOST_TEST(due());
  see("", "life-2", 5);
  BOOST_TEST(due());
}

// Grown, quiet-1: an instance of 0.12 core took the partition first, and 86 % of the jobs failed.
BOOST_FIXTURE_TEST_CASE(a_partition_without_an_owner_is_left_to_a_stronger_instance, watched_owner)
{
  BOOST_TEST(!due(true));
  pass(options.leave_to_stronger);
  BOOST_TEST(due(true)); // it does not take it
  see("", "life-2", 5);
  BOOST_TEST(!due(true));
}

BOOST_FIXTURE_TEST_CASE(a_silent_owners_partition_is_left_to_a_stronger_instance, watched_owner)
{
  see("instance-2", "life-2", 5);
  watch.peer_link("instance-2", false);
  pass(options.silence_unlinked + milliseconds{1});
  BOOST_TEST(due(false));
  BOOST_TEST(!due(true));
  pass(options.leave_to_stronger);
  BOOST_TEST(due(true));
}

BOOST_FIXTURE_TEST_CASE(a_linked_owner_has_more_time_than_a_silent_one, watched_owner)
{
  see("instance-2", "life-2", 5);
  pass(options.silence_unlinked + milliseconds{1});
  BOOST_TEST(!due());
  watch.peer_link("instance-2", false);
  BOOST_TEST(due());
  watch.peer_link("instance-2", true);
  BOOST_TEST(!due());
  pass(options.silence);
  BOOST_TEST(due());
}

BOOST_FIXTURE_TEST_CASE(a_renewal_gives_time_anew, watched_owner)
{
  see("instance-2", "life-2", 5);
  watch.peer_link("instance-2", false);
  pass(milliseconds{700});
  see("instance-2", "life-2", 6);
  pass(milliseconds{700});
  BOOST_TEST(!due());
}

BOOST_FIXTURE_TEST_CASE(an_earlier_process_of_this_instance_has_ended, watched_owner)
{
  see("instance-1", "life-0", 5);
  BOOST_TEST(due());
  BOOST_TEST((watch.orders_end() == watch.seen().changed_at));
}

// The one before it may be frozen, or cut off from the store, and go on with its orders.
BOOST_FIXTURE_TEST_CASE(the_owner_before_an_earlier_process_of_this_instance_may_still_order,
                        watched_owner)
{
  see("instance-1", "life-0", 5, 2, 0);
  BOOST_TEST((watch.orders_end() == options.orders_end(watch.seen().changed_at)));
  see("instance-1", "life-0", 6, 2, 7);
  BOOST_TEST((watch.orders_end() ==
              options.orders_end(watch.seen().changed_at) - 4 * options.renew_period));
  see("instance-1", "life-0", 7, 2, 100); // 49 s
  BOOST_TEST((watch.orders_end() == watch.seen().changed_at));
}

// Owners were lost every tenth of a second, and each successor counted 5 s anew for one that had
// not ordered anything yet: tasks on lost workers waited as long as the series lasted and 12.5 s
// more.
BOOST_FIXTURE_TEST_CASE(an_owner_that_never_renewed_has_given_no_orders, watched_owner)
{
  const adapter::store_time shown{milliseconds{500000}};
  clock.heard(shown, time.now());
  node::owner_row row;
  row.holder = "instance-2";
  row.life = "life-2";
  row.epoch = 3;
  row.earlier_orders_end = shown + milliseconds{700};
  watch.take_in({{node::k_owners_table, "cell", "owner"}, node::to_row_text(row), 5});
  BOOST_TEST((watch.orders_end() >= time.now() + milliseconds{700}));
  BOOST_TEST((watch.orders_end() <= time.now() + milliseconds{702}));
  row.renewal = 1;
  watch.take_in({{node::k_owners_table, "cell", "owner"}, node::to_row_text(row), 6});
  BOOST_TEST((watch.orders_end() == options.orders_end(watch.seen().changed_at)));
}

BOOST_FIXTURE_TEST_CASE(an_owner_that_gave_the_partition_back_is_remembered, watched_owner)
{
  see("instance-2", "life-2", 5);
  see("", "life-2", 6);
  BOOST_TEST(watch.instance() == "instance-2");
  see("", "life-3", 7);
  BOOST_TEST(watch.instance().empty());
}

// A commit without a renewal extends an owner's authority, but others see renewals alone.
BOOST_FIXTURE_TEST_CASE(an_owner_may_give_orders_for_its_authority_after_its_last_commit,
                        watched_owner)
{
  see("instance-2", "life-2", 5);
  BOOST_TEST(
      (watch.orders_end() >= watch.seen().changed_at + options.renew_period + options.authority));
  // What the scheduler calls a fresh word must be over before anybody takes over.
  BOOST_TEST((scheduling::scheduler_options{}.max_renewal_age < options.silence_unlinked));
}

BOOST_FIXTURE_TEST_CASE(older_and_damaged_rows_are_left_out, watched_owner)
{
  see("instance-2", "life-2", 5);
  see("instance-3", "life-3", 4);
  BOOST_TEST(watch.seen().row.holder == "instance-2");
  BOOST_TEST(!watch.take_in({{node::k_owners_table, "cell", "owner"}, "no json", 6}).has_value());
  BOOST_TEST(watch.seen().row.holder == "instance-2");
}

BOOST_AUTO_TEST_SUITE_END()
