// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>

#include <vector>

#include "Node/PreviousOwnerRequests.h"
#include "UnitTests/Node/OwnerHarness.h"

using namespace yardhill;
using common::previous_requests_reply;
using node::owner_under_test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr const char* k_previous = "instance-2";

// This instance takes over, with epoch 5, from an owner with the given number of renewals.
struct taken_over
{
  explicit taken_over(std::uint64_t renewals = 100)
  {
    node::owner_row row;
    row.holder = k_previous;
    row.life = "life-2";
    row.epoch = 4;
    row.renewal = renewals;
    watch.update({{node::k_owners_table, "cell", "owner"}, node::to_row_text(row), 9});
    pass(seconds{1});
    requests.begin(watch, 5);
  }

  void pass(common::duration span) { time.run_until(time.now() + span); }

  model::virtual_time time;
  node::ownership_options options;
  node::store_clock clock{time};
  node::owner_watch watch{time, clock, {"instance-1", "life-1"}, "cell", options};
  std::vector<std::string> queried;
  node::previous_owner_requests requests{
      time, "cell",
      [this](const std::string& peer, const common::peer_message&) { queried.push_back(peer); }};
};

// Records the replies that an instance sends to its peers.
struct answering_owner : owner_under_test
{
  std::vector<previous_requests_reply> replies;
  std::unique_ptr<node::partition_owner> instance;

  answering_owner()
  {
    node::owner_dependencies given = parts();
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
    instance->on_orders_query("instance-3", {node::k_partition, epoch});
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(PreviousOwnerRequestsTest)

BOOST_FIXTURE_TEST_CASE(the_previous_owners_instance_is_queried_until_it_replies, taken_over)
{
  requests.tick();
  requests.tick();
  BOOST_TEST(queried.size() == 1U);
  pass(milliseconds{250});
  requests.tick();
  BOOST_TEST(queried.size() == 2U);
  BOOST_TEST(queried.back() == k_previous);
  BOOST_TEST(requests.on_reply(k_previous, {"cell", 5, 100}));
  pass(milliseconds{250});
  requests.tick();
  BOOST_TEST(queried.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(the_end_is_the_last_request_that_the_instance_reports, taken_over)
{
  BOOST_TEST((requests.end() == watch.requests_end()));
  BOOST_TEST(requests.on_reply(k_previous, {"cell", 5, 100}));
  BOOST_TEST((requests.end() == time.now() - milliseconds{100}));
}

BOOST_FIXTURE_TEST_CASE(other_replies_are_ignored, taken_over)
{
  BOOST_TEST(!requests.on_reply("instance-3", {"cell", 5, 100}));
  BOOST_TEST(!requests.on_reply(k_previous,
                                {"cell", 4, 100})); // a reply to the query of an earlier takeover
  BOOST_TEST(!requests.on_reply(k_previous, {"other", 5, 100}));
  BOOST_TEST((requests.end() == watch.requests_end()));
}

// The owner before the previous one may still send requests to workers.
BOOST_AUTO_TEST_CASE(after_a_short_ownership_earlier_owners_count_as_well)
{
  taken_over taken(5);
  BOOST_TEST(taken.requests.on_reply(k_previous, {"cell", 5, 100}));
  BOOST_TEST((taken.requests.end() == taken.watch.requests_end() - 2 * taken.options.renew_period));
}

// The previous owner has written that end on the store's clock, which all instances share.
BOOST_AUTO_TEST_CASE(the_reported_end_of_earlier_owners_is_used)
{
  taken_over taken(4);
  taken.clock.heard(adapter::store_time{milliseconds{500000}}, taken.time.now());
  node::owner_row row = taken.watch.observed().row;
  row.previous_requests_end = adapter::store_time{milliseconds{500700}};
  taken.watch.row_written(row, 10);
  taken.requests.begin(taken.watch, 5);
  BOOST_TEST(taken.requests.on_reply(k_previous, {"cell", 5, 100}));
  BOOST_TEST((taken.requests.end() >= taken.time.now() + milliseconds{700}));
  BOOST_TEST((taken.requests.end() <= taken.time.now() + milliseconds{702}));
}

// Guards against a needless wait of 5 s (explorer, seed 200855): an owner was killed soon after its
// takeover, and its next process took over. That process had seen only the latest row, and could
// not convert the time in it before the store's reply had set its clock, so it counted 5 s from its
// own start for the owners before.
BOOST_AUTO_TEST_CASE(a_new_process_uses_the_reported_end_once_the_store_clock_is_known)
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
  row.previous_requests_end = adapter::store_time{milliseconds{500700}};
  watch.update({{node::k_owners_table, "cell", "owner"}, node::to_row_text(row), 9});
  node::previous_owner_requests requests{time, "cell", [](const std::string&, const auto&) {}};
  requests.begin(watch, 5);
  BOOST_TEST((requests.end() == options.requests_end(time.now())));
  clock.heard(adapter::store_time{milliseconds{500000}}, time.now());
  requests.recompute_end();
  BOOST_TEST((requests.end() >= time.now() + milliseconds{700}));
  BOOST_TEST((requests.end() <= time.now() + milliseconds{702}));
}

BOOST_FIXTURE_TEST_CASE(an_instance_replies_once_it_has_seen_the_later_owner, answering_owner)
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

BOOST_FIXTURE_TEST_CASE(a_replaced_owner_reports_the_time_since_it_was_replaced, answering_owner)
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

// The reply to its own takeover may be in transit, and make it an earlier owner.
BOOST_FIXTURE_TEST_CASE(an_instance_that_is_taking_over_does_not_reply, answering_owner)
{
  instance->tick(time.now(), begin);
  see_owner(2, 1000);
  ask(2);
  BOOST_TEST(replies.empty());
}

BOOST_AUTO_TEST_SUITE_END()
