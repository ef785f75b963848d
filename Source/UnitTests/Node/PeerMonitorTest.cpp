// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

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
                           "zone",
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

BOOST_FIXTURE_TEST_CASE(nobody_is_asked_without_need, monitor_under_test)
{
  peers.linked("peer", "other");
  pass(milliseconds{2000});
  BOOST_TEST(sent.empty());
  BOOST_TEST(events == names{"+peer"}, boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(only_peers_that_live_and_reach_the_store_count_as_strong,
                        monitor_under_test)
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
  BOOST_TEST(!peers.way_through().has_value());
  peers.heard("peer");
  BOOST_TEST(events == (names{"+peer", "-peer", "+peer"}), boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(an_owner_that_stops_asking_is_silent, monitor_under_test)
{
  peers.linked("owner", "other");
  for (int i = 0; i < 8; ++i)
  {
    peers.heard("owner");
    peers.on_question("owner", {true}, true);
    pass(milliseconds{250});
  }
  BOOST_TEST(events.size() == 1U);
  pass(milliseconds{700});
  BOOST_TEST(events == (names{"+owner", "-owner"}), boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(an_owner_that_has_given_back_says_so_and_may_be_quiet, monitor_under_test)
{
  peers.linked("owner", "other");
  peers.heard("owner");
  peers.on_question("owner", {true}, true);
  pass(milliseconds{250});
  peers.heard("owner");
  peers.on_question("owner", {false}, true);
  pass(milliseconds{3000});
  BOOST_TEST(events.size() == 1U);

  // And this instance, once it owns nothing any more, tells the others in the same way.
  sent.clear();
  pass(milliseconds{25}, true);
  pass(milliseconds{25}, false);
  BOOST_TEST_REQUIRE(sent.size() >= 1U);
  BOOST_TEST(!std::get<common::way_question>(sent.back()).often);
}

// Found by reading: two instances that own nothing have little to say to each other, so after a
// short cut each took the other for silent until the next trouble.
BOOST_FIXTURE_TEST_CASE(silent_peers_are_asked_until_they_are_heard, monitor_under_test)
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

BOOST_FIXTURE_TEST_CASE(own_pauses_are_not_held_against_peers, monitor_under_test)
{
  peers.linked("peer", "other");
  pass(milliseconds{300}, true);
  time.run_until(time.now() + milliseconds{4000});
  peers.tick(time.now(), true, false);
  BOOST_TEST(events.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(only_peers_of_other_zones_tell_that_a_zone_is_cut_off, monitor_under_test)
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

BOOST_AUTO_TEST_SUITE_END()
