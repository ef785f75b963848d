// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>

#include <vector>

#include "Node/EarlierOrders.h"
#include "UnitTests/Node/OwnerHarness.h"

using namespace yardhill;
using common::previous_requests_reply;
using node::owner_under_test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr const char* k_earlier = "instance-2";

// This instance takes over, as the owner 5, from an owner of some length.
struct taken_over
{
  explicit taken_over(std::uint64_t renewals = 100)
  {
    node::owner_row row;
    row.holder = k_earlier;
    row.life = "life-2";
    row.epoch = 4;
    row.renewal = renewals;
    watch.take_in({{node::k_owners_table, "cell", "owner"}, node::to_row_text(row), 9});
    pass(seconds{1});
    earlier.begin(watch, 5);
  }

  void pass(common::duration span) { time.run_until(time.now() + span); }

  model::virtual_time time;
  node::ownership_options options;
  node::store_clock clock{time};
  node::owner_watch watch{time, clock, {"instance-1", "life-1"}, "cell", options};
  std::vector<std::string> asked;
  node::earlier_orders earlier{time, "cell",
                               [this](const std::string& peer, const common::peer_message&)
                               { asked.push_back(peer); }};
};

// Keeps what an instance sends to its peers.
struct answering_owner : owner_under_test
{
  std::vector<previous_requests_reply> replies;
  std::unique_ptr<node::partition_owner> instance;

  answering_owner()
  {
    node::node_parts given = parts();
    given.send_to_peer = [this](const std::string&, const common::peer_message& message)
    {
      if (const auto* const reply = std::get_if<previous_requests_reply>(&message))
        replies.push_back(*reply);
    };
    instance = std::make_unique<node::partition_owner>(
        given, node::instance_identity{"instance-2", "life-2"}, node::k_partition,
        node::ownership_options{});
  }

  void see_owner(std::uint64_t epoch, adapter::row_version version) const
  {
    node::owner_row row;
    row.holder = "instance-3";
    row.life = "life-3";
    row.epoch = epoch;
    instance->owner_row_changed(
        {{node::k_owners_table, node::k_partition, node::k_owner_key}, to_row_text(row), version});
  }

  void ask(std::uint64_t epoch) const
  {
    instance->on_orders_question("instance-3", {node::k_partition, epoch});
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(EarlierOrdersTest)

BOOST_FIXTURE_TEST_CASE(the_earlier_owners_instance_is_asked_until_it_answers, taken_over)
{
  earlier.tick();
  earlier.tick();
  BOOST_TEST(asked.size() == 1U);
  pass(milliseconds{250});
  earlier.tick();
  BOOST_TEST(asked.size() == 2U);
  BOOST_TEST(asked.back() == k_earlier);
  BOOST_TEST(earlier.on_reply(k_earlier, {"cell", 5, 100}));
  pass(milliseconds{250});
  earlier.tick();
  BOOST_TEST(asked.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(orders_are_over_since_the_instance_is_quiet, taken_over)
{
  BOOST_TEST((earlier.end() == watch.orders_end()));
  BOOST_TEST(earlier.on_reply(k_earlier, {"cell", 5, 100}));
  BOOST_TEST((earlier.end() == time.now() - milliseconds{100}));
}

BOOST_FIXTURE_TEST_CASE(other_answers_prove_nothing, taken_over)
{
  BOOST_TEST(!earlier.on_reply("instance-3", {"cell", 5, 100}));
  BOOST_TEST(!earlier.on_reply(k_earlier, {"cell", 4, 100})); // asked at an earlier takeover
  BOOST_TEST(!earlier.on_reply(k_earlier, {"other", 5, 100}));
  BOOST_TEST((earlier.end() == watch.orders_end()));
}

// The owner before the latest one may still give orders.
BOOST_AUTO_TEST_CASE(after_a_short_ownership_the_owners_before_it_count_as_well)
{
  taken_over taken(5);
  BOOST_TEST(taken.earlier.on_reply(k_earlier, {"cell", 5, 100}));
  BOOST_TEST((taken.earlier.end() == taken.watch.orders_end() - 2 * taken.options.renew_period));
}

// As that owner wrote it, on the clock that all share.
BOOST_AUTO_TEST_CASE(the_end_of_the_owners_before_is_handed_on)
{
  taken_over taken(4);
  taken.clock.heard(adapter::store_time{milliseconds{500000}}, taken.time.now());
  node::owner_row row = taken.watch.seen().row;
  row.earlier_orders_end = adapter::store_time{milliseconds{500700}};
  taken.watch.written(row, 10);
  taken.earlier.begin(taken.watch, 5);
  BOOST_TEST(taken.earlier.on_reply(k_earlier, {"cell", 5, 100}));
  BOOST_TEST((taken.earlier.end() >= taken.time.now() + milliseconds{700}));
  BOOST_TEST((taken.earlier.end() <= taken.time.now() + milliseconds{702}));
}

// Explorer, seed 200855: an owner was killed soon after its takeover, and its next process took
// over. It had seen no more than the latest row, and could not read the time in it before the store
// had told it its clock; it counted 5 s from its own start for the owners before.
BOOST_AUTO_TEST_CASE(a_new_process_counts_by_the_row_once_it_knows_the_stores_clock)
{
  model::virtual_time time;
  node::store_clock clock{time};
  const node::ownership_options options;
  node::owner_watch watch{time, clock, {"instance-1", "life-1"}, "cell", options};
  node::owner_row row;
  row.holder = "instance-1";
  row.life = "life-0";
  row.epoch = 4;
  row.renewal = 1;
  row.earlier_orders_end = adapter::store_time{milliseconds{500700}};
  watch.take_in({{node::k_owners_table, "cell", "owner"}, node::to_row_text(row), 9});
  node::earlier_orders earlier{time, "cell", [](const std::string&, const auto&) {}};
  earlier.begin(watch, 5);
  BOOST_TEST((earlier.end() == options.orders_end(time.now())));
  clock.heard(adapter::store_time{milliseconds{500000}}, time.now());
  earlier.count_again();
  BOOST_TEST((earlier.end() >= time.now() + milliseconds{700}));
  BOOST_TEST((earlier.end() <= time.now() + milliseconds{702}));
}

BOOST_FIXTURE_TEST_CASE(an_instance_answers_once_it_has_seen_the_later_owner, answering_owner)
{
  see_owner(4, 10);
  ask(5);
  BOOST_TEST(replies.empty());
  see_owner(5, 11);
  time.run_until(time.now() + milliseconds{300});
  ask(5);
  BOOST_TEST_REQUIRE(replies.size() == 1U);
  BOOST_TEST(replies.front().epoch == 5U);
  BOOST_TEST(replies.front().quiet_ms >= 300U);
}

BOOST_FIXTURE_TEST_CASE(an_owner_that_is_replaced_has_been_quiet_since_it_knew, answering_owner)
{
  pass(*instance, milliseconds{2000});
  BOOST_TEST_REQUIRE(instance->owns());
  ask(2);
  BOOST_TEST(replies.empty());
  see_owner(2, 1000);
  BOOST_TEST(!instance->owns());
  time.run_until(time.now() + milliseconds{200});
  ask(2);
  BOOST_TEST_REQUIRE(replies.size() == 1U);
  BOOST_TEST(replies.front().quiet_ms == 200U);
}

// The answer to its own takeover may be under way, and make it an earlier owner.
BOOST_FIXTURE_TEST_CASE(an_instance_that_is_taking_over_does_not_answer, answering_owner)
{
  instance->tick(time.now(), begin);
  see_owner(2, 1000);
  ask(2);
  BOOST_TEST(replies.empty());
}

BOOST_AUTO_TEST_SUITE_END()
