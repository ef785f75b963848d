// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "Model/VirtualTime.h"
#include "Node/PeerMonitor.h"

using namespace yardhill;
using std::chrono::milliseconds;

namespace
{
struct monitor_under_test
{
  model::virtual_time time;
  std::vector<std::string> events;
  std::vector<common::peer_message> sent;
  node::peer_monitor peers{time,
                           {"self", "zone"},
                           [this](const std::string&, const common::peer_message& message)
                           { sent.push_back(message); },
                           {[this](const std::string& peer) { events.push_back("+" + peer); },
                            [this](const std::string& peer) { events.push_back("-" + peer); }}};

  void pass(milliseconds span, bool owner = false, bool in_doubt = false)
  {
    const auto end = time.now() + span;
    while (time.now() < end)
    {
      time.run_until(time.now() + milliseconds{25});
      peers.tick(time.now(), owner, in_doubt);
    }
  }
};

using names = std::vector<std::string>;
} // namespace

BOOST_AUTO_TEST_SUITE(PeerMonitorTest)

BOOST_FIXTURE_TEST_CASE(no_peer_is_queried_without_need, monitor_under_test)
{
  peers.linked("peer", "other");
  pass(milliseconds{2000});
  BOOST_TEST(sent.empty());
  BOOST_TEST(events == names{"+peer"}, boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(only_live_peers_that_reach_the_store_count_as_strong, monitor_under_test)
{
  BOOST_TEST(peers.strongest() == 0U);
  peers.linked("weak", "other");
  peers.linked("strong", "other");
  peers.on_strength("weak", {120});
  peers.on_strength("strong", {500});
  BOOST_TEST(peers.strongest() == 500U);
  peers.on_report("strong", {false});
  BOOST_TEST(peers.strongest() == 120U);
  peers.unlinked("weak");
  BOOST_TEST(peers.strongest() == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_peer_that_does_not_answer_an_owner_is_silent_until_heard,
                        monitor_under_test)
{
  peers.linked("peer", "other");
  pass(milliseconds{800}, true);
  BOOST_TEST(events == (names{"+peer", "-peer"}), boost::test_tools::per_element());
  BOOST_TEST(!peers.relay_peer().has_value());
  peers.heard("peer");
  BOOST_TEST(events == (names{"+peer", "-peer", "+peer"}), boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(an_owner_that_stops_its_queries_is_silent, monitor_under_test)
{
  peers.linked("owner", "other");
  for (int i = 0; i < 8; ++i)
  {
    peers.heard("owner");
    peers.on_query("owner", {true}, {true});
    pass(milliseconds{250});
  }
  BOOST_TEST(events.size() == 1U);
  pass(milliseconds{700});
  BOOST_TEST(events == (names{"+owner", "-owner"}), boost::test_tools::per_element());
}

// Guards against replacing an owner that is merely busy: an owner whose event loop was late by
// 0.7 s was replaced again and again, and the judges reported LOST and SHORT.
struct late_owner : monitor_under_test
{
  late_owner() { peers.linked("owner", "other"); }

  void send_query(milliseconds reported_lateness = milliseconds{0})
  {
    peers.heard("owner");
    peers.on_query("owner", {true, static_cast<std::uint32_t>(reported_lateness.count())}, {true});
  }

  // For `span`, the owner sends a query every `gap`.
  void send_queries(milliseconds span, milliseconds gap)
  {
    for (milliseconds passed{0}; passed < span; passed += gap)
    {
      send_query();
      pass(gap);
    }
    send_query();
  }

  bool silent() const { return events.back() == "-owner"; }
};

BOOST_FIXTURE_TEST_CASE(an_owner_whose_queries_came_late_may_be_late_again, late_owner)
{
  send_queries(milliseconds{1800}, milliseconds{600});
  pass(milliseconds{1175});
  BOOST_TEST(!silent());
  pass(milliseconds{100});
  BOOST_TEST(silent());
}

BOOST_FIXTURE_TEST_CASE(an_owner_that_reports_its_lateness_gets_a_longer_timeout, late_owner)
{
  send_query(milliseconds{500});
  pass(milliseconds{975});
  BOOST_TEST(!silent());
  pass(milliseconds{100});
  BOOST_TEST(silent());
}

BOOST_FIXTURE_TEST_CASE(the_timeout_of_a_late_owner_is_bounded, late_owner)
{
  send_queries(milliseconds{1500}, milliseconds{1500}); // silent in between
  send_query(milliseconds{60000});
  pass(milliseconds{1975});
  BOOST_TEST(!silent());
  pass(milliseconds{100});
  BOOST_TEST(silent());
}

BOOST_FIXTURE_TEST_CASE(an_owner_that_is_in_time_again_gets_the_usual_timeout, late_owner)
{
  send_queries(milliseconds{1200}, milliseconds{600});
  send_queries(milliseconds{20000}, milliseconds{250});
  pass(milliseconds{700});
  BOOST_TEST(silent());
}

BOOST_FIXTURE_TEST_CASE(an_outage_does_not_count_as_lateness, late_owner)
{
  send_queries(milliseconds{3000}, milliseconds{3000});
  BOOST_TEST(!silent());
  pass(milliseconds{700});
  BOOST_TEST(silent());
}

BOOST_FIXTURE_TEST_CASE(a_busy_instance_reports_its_lateness, monitor_under_test)
{
  peers.linked("peer", "other");
  pass(milliseconds{300}, true);
  time.run_until(time.now() + milliseconds{400});
  sent.clear();
  peers.tick(time.now(), true, false);
  BOOST_TEST_REQUIRE(!sent.empty());
  BOOST_TEST(std::get<common::store_reachability_query>(sent.back()).late_ms == 400U);
}

BOOST_FIXTURE_TEST_CASE(an_owner_that_released_its_partition_says_so_and_may_fall_silent,
                        monitor_under_test)
{
  peers.linked("owner", "other");
  peers.heard("owner");
  peers.on_query("owner", {true}, {true});
  pass(milliseconds{250});
  peers.heard("owner");
  peers.on_query("owner", {false}, {true});
  pass(milliseconds{3000});
  BOOST_TEST(events.size() == 1U);

  // This instance tells its peers in the same way once it owns nothing any more.
  sent.clear();
  pass(milliseconds{25}, true);
  pass(milliseconds{25}, false);
  BOOST_TEST_REQUIRE(sent.size() >= 1U);
  BOOST_TEST(!std::get<common::store_reachability_query>(sent.back()).often);
}

// Two instances that own nothing send each other few messages. Without further queries, each would
// regard the other as silent after a short interruption of the network until the next fault.
BOOST_FIXTURE_TEST_CASE(silent_peers_are_queried_until_they_are_heard, monitor_under_test)
{
  peers.linked("peer", "other");
  pass(milliseconds{800}, false, true);
  BOOST_TEST_REQUIRE(events.size() == 2U);
  sent.clear();
  pass(milliseconds{600});
  BOOST_TEST(!sent.empty());
  peers.heard("peer");
  peers.on_report("peer", {true});
  sent.clear();
  pass(milliseconds{600});
  BOOST_TEST(sent.empty());
}

BOOST_FIXTURE_TEST_CASE(a_stall_of_this_instance_does_not_make_peers_silent, monitor_under_test)
{
  peers.linked("peer", "other");
  pass(milliseconds{300}, true);
  time.run_until(time.now() + milliseconds{4000});
  peers.tick(time.now(), true, false);
  BOOST_TEST(events.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(only_silent_peers_of_other_zones_show_that_those_are_unreachable,
                        monitor_under_test)
{
  peers.linked("near", "zone");
  pass(milliseconds{800}, false, true);
  BOOST_TEST(!peers.cut_off());
  peers.linked("far", "other");
  BOOST_TEST(!peers.cut_off());
  pass(milliseconds{900}, false, true);
  BOOST_TEST(peers.cut_off());
  peers.unlinked("far");
  BOOST_TEST(peers.cut_off());
  peers.linked("far", "other");
  BOOST_TEST(!peers.cut_off());
}

// Guards against a load that grows with the square of the instances: the store rejects a third of
// 147 instances for some seconds. When each of them queried all others four times a second, the
// cell had 30,000 queries a second, and as many replies.
struct many_peers : monitor_under_test
{
  many_peers()
  {
    for (int i = 0; i < 146; ++i)
    {
      const std::string name = "instance-" + std::to_string(i);
      peers.linked(name, i % 5 == 0 ? "zone" : "zone-" + std::to_string(i % 5));
      peers.on_strength(name, {i < 15 ? 500U : 120U});
    }
  }

  // Counts the queries sent in one second in which every query is answered at once.
  std::size_t queries_in_a_second(bool owner, bool in_doubt)
  {
    sent.clear();
    for (int i = 0; i < 40; ++i)
    {
      pass(milliseconds{25}, owner, in_doubt);
      for (int each = 0; each < 146; ++each)
      {
        const std::string name = "instance-" + std::to_string(each);
        peers.heard(name);
        peers.on_report(name, {true});
      }
    }
    return sent.size();
  }
};

BOOST_FIXTURE_TEST_CASE(an_instance_in_doubt_queries_a_few_of_many_peers, many_peers)
{
  BOOST_TEST(queries_in_a_second(false, true) <= 40U);
}

BOOST_FIXTURE_TEST_CASE(an_owner_queries_weaker_peers_in_turn, many_peers)
{
  // All 146 peers, none weaker than this instance, are queried four times.
  BOOST_TEST(queries_in_a_second(true, false) == 4U * 146U);
  node::peer_monitor strong{time,
                            {"self", "zone", 500},
                            [this](const std::string&, const common::peer_message& message)
                            { sent.push_back(message); },
                            {[](const std::string&) {}, [](const std::string&) {}}};
  for (int i = 0; i < 146; ++i)
  {
    const std::string name = "instance-" + std::to_string(i);
    strong.linked(name, "zone");
    strong.on_strength(name, {i < 15 ? 500U : 120U});
  }
  sent.clear();
  for (int i = 0; i < 40; ++i)
  {
    time.run_until(time.now() + milliseconds{25});
    strong.tick(time.now(), true, false);
    for (int each = 0; each < 146; ++each)
      strong.heard("instance-" + std::to_string(each));
  }
  BOOST_TEST(sent.size() <= 4U * 15U + 146U);
  const auto often = std::count_if(sent.begin(), sent.end(),
                                   [](const common::peer_message& each) {
                                     return std::get<common::store_reachability_query>(each).often;
                                   });
  BOOST_TEST(often == 4 * 15);
}

BOOST_FIXTURE_TEST_CASE(instances_in_doubt_relay_through_different_peers, many_peers)
{
  std::set<std::string> relays;
  for (int i = 0; i < 20; ++i)
  {
    node::peer_monitor other{time,
                             {"other-" + std::to_string(i), "zone"},
                             [](const std::string&, const common::peer_message&) {},
                             {[](const std::string&) {}, [](const std::string&) {}}};
    for (int each = 0; each < 146; ++each)
      other.linked("instance-" + std::to_string(each), "zone");
    relays.insert(*other.relay_peer());
  }
  BOOST_TEST(relays.size() >= 15U);
}

BOOST_FIXTURE_TEST_CASE(an_owner_is_the_last_choice_as_a_relay, monitor_under_test)
{
  peers.linked("a", "other");
  peers.linked("b", "other");
  for (const char* owner : {"a", "b"})
  {
    peers.on_query("a", {false}, {true});
    peers.on_query("b", {false}, {true});
    peers.on_query(owner, {true}, {true});
    BOOST_TEST(*peers.relay_peer() != owner);
  }
}

BOOST_FIXTURE_TEST_CASE(a_few_silent_peers_of_many_show_that_other_zones_are_unreachable,
                        many_peers)
{
  pass(milliseconds{1000}, false, true);
  BOOST_TEST(peers.cut_off());
  peers.heard("instance-1"); // of another zone
  BOOST_TEST(!peers.cut_off());
}

BOOST_AUTO_TEST_SUITE_END()
