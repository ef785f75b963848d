// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <deque>

#include <boost/test/unit_test.hpp>

#include "Model/VirtualTime.h"
#include "Node/StorePath.h"

using namespace yardhill;
using std::chrono::milliseconds;

namespace
{
// Holds calls until the test answers them.
struct held_calls : http::peer_sender
{
  struct held
  {
    http::request call;
    http::reply_handler done;
  };
  std::deque<held> calls;

  void send(const common::endpoint&, http::request call, common::duration,
            http::reply_handler done) override
  {
    calls.push_back({std::move(call), std::move(done)});
  }

  void answer(const http::reply& reply)
  {
    const held first = std::move(calls.front());
    calls.pop_front();
    first.done(reply);
  }
};

struct path_under_test
{
  model::virtual_time time;
  held_calls direct;
  std::deque<common::relay_request> relayed;
  unsigned peer_queries = 0;
  node::peer_monitor peers{time,
                           {"self", "zone"},
                           [this](const std::string&, const common::peer_message&)
                           { ++peer_queries; },
                           {[](const std::string&) {},
                            [this](const std::string& peer) { path.peer_unreachable(peer); }}};
  common::call_numbers numbers{"life-1"};
  node::store_path path{time,
                        numbers,
                        direct,
                        {"10.0.0.1", 80},
                        {http::method::get, "/probe", {}, {}},
                        peers,
                        [this](const std::string&, const common::peer_message& message)
                        { relayed.push_back(std::get<common::relay_request>(message)); }};
  std::optional<http::reply> got;

  void pass(milliseconds span)
  {
    const auto end = time.now() + span;
    while (time.now() < end)
    {
      time.run_until(time.now() + milliseconds{25});
      path.tick(time.now());
      peers.tick(time.now(), false, path.in_doubt());
    }
  }

  void call(http::method verb)
  {
    got.reset();
    path.send({verb, "/call", {}, {}}, milliseconds{900},
              [this](const http::reply& reply) { got = reply; });
  }
  // Sends a write that has no reply until a copy of it is sent through a peer.
  void call_until_copied()
  {
    peers.linked("peer", "other zone");
    call(http::method::post);
    peers.on_report("peer", {true});
    pass(milliseconds{350});
    BOOST_TEST_REQUIRE(relayed.size() == 1U);
  }

  void answer_copy(unsigned status)
  {
    path.on_reply("peer", {relayed.front().number, status, {}, {}, false});
  }
};

const http::reply k_ok{200, "fine", {}, false};
const http::reply k_reset{0, {}, "reset", false};
const http::reply k_busy{503, {}, {}, false};
} // namespace

BOOST_AUTO_TEST_SUITE(StorePathTest)

BOOST_FIXTURE_TEST_CASE(a_healthy_store_is_called_directly, path_under_test)
{
  peers.linked("peer", "other zone");
  call(http::method::post);
  direct.answer(k_ok);
  BOOST_TEST_REQUIRE(got.has_value());
  BOOST_TEST(got->status == 200U);
  BOOST_TEST(relayed.empty());
}

BOOST_FIXTURE_TEST_CASE(a_write_whose_answer_was_lost_is_not_sent_again, path_under_test)
{
  peers.linked("peer", "other zone");
  call(http::method::post);
  direct.answer(k_reset);
  BOOST_TEST_REQUIRE(got.has_value());
  BOOST_TEST(!got->answered());
  BOOST_TEST(relayed.empty());
  BOOST_TEST(path.direct_failing_since().has_value());
}

// Guards against a commit that waits 0.9 s for a reply before a peer is asked (Thies, trouble-1,
// 16.5 s): the store had stopped answering the owner alone.
BOOST_FIXTURE_TEST_CASE(a_call_without_a_reply_is_copied_through_a_peer_that_reaches_the_store,
                        path_under_test)
{
  peers.linked("peer", "other zone");
  call(http::method::post);
  peers.on_report("peer", {false});
  pass(milliseconds{350});
  BOOST_TEST(relayed.empty());
  peers.on_report("peer", {true});
  pass(milliseconds{50});
  BOOST_TEST_REQUIRE(relayed.size() == 1U);
  pass(milliseconds{100});
  BOOST_TEST(relayed.size() == 1U);
  path.on_reply("peer", {relayed.front().number, 200, "fine", {}, false});
  BOOST_TEST_REQUIRE(got.has_value());
  BOOST_TEST(got->status == 200U);
  got.reset();
  direct.answer({412, "the copy was first", {}, false});
  BOOST_TEST(!got.has_value());
}

BOOST_FIXTURE_TEST_CASE(a_failed_copy_leaves_the_direct_call_in_flight, path_under_test)
{
  call_until_copied();
  path.on_reply("peer", {relayed.front().number, 0, {}, "no way to the store", true});
  BOOST_TEST(!got.has_value());
  direct.answer(k_ok);
  BOOST_TEST_REQUIRE(got.has_value());
  BOOST_TEST(got->status == 200U);
}

// Guards against a false refusal: the store was slow and rejected the copy of a call at its rate
// limit while the call itself was carried out. The caller was told that its job was refused, and
// the job ran.
BOOST_FIXTURE_TEST_CASE(a_rejected_copy_does_not_end_the_call, path_under_test)
{
  call_until_copied();
  answer_copy(429);
  BOOST_TEST(!got.has_value());
  direct.answer(k_ok);
  BOOST_TEST_REQUIRE(got.has_value());
  BOOST_TEST(got->status == 200U);
}

BOOST_FIXTURE_TEST_CASE(a_rejected_call_waits_for_the_reply_to_its_copy, path_under_test)
{
  call_until_copied();
  direct.answer({429, {}, {}, false});
  BOOST_TEST(!got.has_value());
  path.on_reply("peer", {relayed.front().number, 0, {}, "no answer in time", false});
  BOOST_TEST_REQUIRE(got.has_value());
  BOOST_TEST(!got->answered());
  BOOST_TEST(!got->refused); // the copy may have been carried out
}

BOOST_FIXTURE_TEST_CASE(a_call_with_both_copies_rejected_was_not_done, path_under_test)
{
  call_until_copied();
  direct.answer({429, {}, {}, false});
  answer_copy(429);
  BOOST_TEST_REQUIRE(got.has_value());
  BOOST_TEST(got->status == 429U);
}

BOOST_FIXTURE_TEST_CASE(calls_that_take_as_long_as_the_latest_ones_are_not_copied, path_under_test)
{
  peers.linked("peer", "other zone");
  call(http::method::post);
  pass(milliseconds{200});
  direct.answer(k_ok);
  call(http::method::post);
  for (int i = 0; i < 5; ++i)
  {
    pass(milliseconds{100});
    peers.on_report("peer", {true});
  }
  BOOST_TEST(relayed.empty());
  BOOST_TEST(!path.in_doubt());
}

BOOST_FIXTURE_TEST_CASE(a_rejected_write_is_relayed_through_a_peer, path_under_test)
{
  peers.linked("peer", "other zone");
  call(http::method::post);
  direct.answer(k_busy);
  BOOST_TEST(!got.has_value());
  BOOST_TEST_REQUIRE(relayed.size() == 1U);
  path.on_reply("peer", {relayed.front().number, 200, "fine", {}, false});
  BOOST_TEST_REQUIRE(got.has_value());
  BOOST_TEST(got->status == 200U);
}

BOOST_FIXTURE_TEST_CASE(without_a_path_to_the_store_calls_fail_at_once, path_under_test)
{
  call(http::method::get);
  direct.answer(k_reset);
  time.run_until(time.now() + milliseconds{1});
  BOOST_TEST_REQUIRE(got.has_value());
  BOOST_TEST(got->refused);
  call(http::method::post);
  time.run_until(time.now() + milliseconds{1});
  BOOST_TEST_REQUIRE(got.has_value());
  BOOST_TEST(got->refused);
}

BOOST_FIXTURE_TEST_CASE(a_probe_restores_the_direct_path, path_under_test)
{
  call(http::method::post);
  direct.answer(k_reset);
  time.run_until(time.now() + milliseconds{600});
  path.tick(time.now());
  BOOST_TEST_REQUIRE(direct.calls.size() == 1U);
  BOOST_TEST(direct.calls.front().call.target == "/probe");
  direct.answer(k_ok);
  BOOST_TEST(!path.direct_failing_since().has_value());
}

// Guards against callers who wait for half a second although the store is back.
BOOST_FIXTURE_TEST_CASE(a_silent_store_is_probed_more_often_while_callers_wait, path_under_test)
{
  call(http::method::post);
  direct.answer(k_reset);
  path.set_callers_waiting(true);
  pass(milliseconds{125});
  BOOST_TEST(direct.calls.empty());
  pass(milliseconds{25});
  BOOST_TEST_REQUIRE(direct.calls.size() == 1U);
  BOOST_TEST(direct.calls.front().call.target == "/probe");
  pass(milliseconds{150});
  BOOST_TEST(direct.calls.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(the_usual_probe_period_is_in_force_while_no_caller_waits, path_under_test)
{
  call(http::method::post);
  direct.answer(k_reset);
  pass(milliseconds{475});
  BOOST_TEST(direct.calls.empty());
  pass(milliseconds{25});
  BOOST_TEST(direct.calls.size() == 1U);
}

// Guards against unbounded costs: each call to the store is paid for.
BOOST_FIXTURE_TEST_CASE(the_frequent_probes_of_an_outage_are_bounded, path_under_test)
{
  call(http::method::post);
  direct.answer(k_reset);
  path.set_callers_waiting(true);
  pass(std::chrono::seconds{6});
  BOOST_TEST(direct.calls.size() == 40U);
  pass(std::chrono::seconds{10});
  BOOST_TEST(direct.calls.size() == 60U);
  direct.answer(k_ok);
  // The next outage has the same bound.
  call(http::method::post);
  std::swap(direct.calls.front(), direct.calls.back());
  direct.answer(k_reset);
  const std::size_t before = direct.calls.size();
  pass(milliseconds{150});
  BOOST_TEST(direct.calls.size() == before + 1);
}

BOOST_FIXTURE_TEST_CASE(each_change_of_the_direct_path_is_reported_once, path_under_test)
{
  int lost = 0;
  int restored = 0;
  path.set_events({[&lost] { ++lost; }, [&restored] { ++restored; }});
  call(http::method::post);
  call(http::method::post);
  direct.answer(k_reset);
  direct.answer(k_reset);
  BOOST_TEST(lost == 1);
  pass(milliseconds{500});
  BOOST_TEST(restored == 0);
  direct.answer(k_ok);
  BOOST_TEST(lost == 1);
  BOOST_TEST(restored == 1);
}

BOOST_FIXTURE_TEST_CASE(a_peer_without_a_path_refuses_to_relay, path_under_test)
{
  call(http::method::post);
  direct.answer(k_reset);
  std::optional<common::relay_reply> answer;
  node::store_path other(time, numbers, direct, {"10.0.0.1", 80},
                         {http::method::get, "/probe", {}, {}}, peers,
                         [&answer](const std::string&, const common::peer_message& message)
                         { answer = std::get<common::relay_reply>(message); });
  other.send({http::method::post, "/call", {}, {}}, milliseconds{900}, [](const http::reply&) {});
  direct.answer(k_reset);
  other.on_request("peer", {7, static_cast<std::uint8_t>(http::method::post), "/call", {}, 500});
  BOOST_TEST_REQUIRE(answer.has_value());
  BOOST_TEST(answer->number == 7U);
  BOOST_TEST(answer->refused);
}

// Guards against taking a peer's reply to an earlier process of this name for the reply to a call
// of the present one.
BOOST_FIXTURE_TEST_CASE(a_reply_to_a_call_of_an_earlier_process_is_ignored, path_under_test)
{
  peers.linked("peer", "other zone");
  call(http::method::post);
  direct.answer(k_busy);
  BOOST_TEST_REQUIRE(relayed.size() == 1U);
  common::call_numbers later_numbers{"life-2"};
  std::deque<common::relay_request> relayed_later;
  node::store_path later(time, later_numbers, direct, {"10.0.0.1", 80},
                         {http::method::get, "/probe", {}, {}}, peers,
                         [&relayed_later](const std::string&, const common::peer_message& message)
                         { relayed_later.push_back(std::get<common::relay_request>(message)); });
  std::optional<http::reply> answer;
  later.send({http::method::post, "/other", {}, {}}, milliseconds{900},
             [&answer](const http::reply& reply) { answer = reply; });
  direct.answer(k_busy);
  BOOST_TEST_REQUIRE(relayed_later.size() == 1U);
  common::relay_reply reply;
  reply.status = 200;
  reply.number = relayed.front().number;
  later.on_reply("peer", reply);
  BOOST_TEST(!answer.has_value());
  reply.number = relayed_later.front().number;
  later.on_reply("peer", reply);
  BOOST_TEST(answer.has_value());
}

BOOST_FIXTURE_TEST_CASE(a_relayed_call_ends_within_its_timeout, path_under_test)
{
  peers.linked("peer", "other zone");
  call(http::method::post);
  direct.answer(k_busy);
  BOOST_TEST_REQUIRE(relayed.size() == 1U);
  BOOST_TEST(relayed.front().timeout_ms < 900U);
  pass(milliseconds{925});
  BOOST_TEST_REQUIRE(got.has_value());
  BOOST_TEST(!got->answered());
}

BOOST_FIXTURE_TEST_CASE(a_lost_reply_does_not_fail_the_path_if_a_later_call_was_answered,
                        path_under_test)
{
  peers.linked("peer", "other zone");
  call(http::method::post);
  const auto first = direct.calls.front();
  direct.calls.pop_front();
  pass(milliseconds{25});
  call(http::method::post);
  direct.answer(k_ok);
  first.done(k_reset);
  BOOST_TEST(!path.direct_failing_since().has_value());
}

BOOST_FIXTURE_TEST_CASE(a_silent_store_and_silent_other_zones_mean_isolation, path_under_test)
{
  peers.linked("near", "zone");
  peers.linked("far", "other zone");
  call(http::method::post);
  pass(milliseconds{350});
  BOOST_TEST(path.in_doubt());
  BOOST_TEST(!path.isolated());
  BOOST_TEST(peer_queries > 0U);
  for (int i = 0; i < 20; ++i)
  {
    pass(milliseconds{25});
    peers.heard("near");
    peers.on_report("near", {false});
  }
  BOOST_TEST(path.isolated());
  // No call is sent any more, so it is true to tell callers that nothing was done.
  const auto sent = direct.calls.size();
  call(http::method::post);
  pass(milliseconds{25});
  BOOST_TEST_REQUIRE(got.has_value());
  BOOST_TEST(got->refused);
  BOOST_TEST(direct.calls.size() == sent);
}

BOOST_FIXTURE_TEST_CASE(a_slow_store_is_no_isolation, path_under_test)
{
  peers.linked("far", "other zone");
  call(http::method::post);
  for (int i = 0; i < 30; ++i)
  {
    pass(milliseconds{25});
    peers.heard("far");
    peers.on_report("far", {false});
  }
  BOOST_TEST(path.in_doubt());
  BOOST_TEST(!path.isolated());
  call(http::method::post);
  BOOST_TEST(direct.calls.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(calls_in_doubt_go_through_a_peer_that_reaches_the_store, path_under_test)
{
  peers.linked("far", "other zone");
  call(http::method::post);
  for (int i = 0; i < 12; ++i)
  {
    pass(milliseconds{25});
    peers.heard("far");
    peers.on_report("far", {true});
  }
  BOOST_TEST(relayed.size() == 1U); // a copy of the call in flight
  call(http::method::post);
  BOOST_TEST(relayed.size() == 2U);
  BOOST_TEST(direct.calls.size() == 1U);
}

// Guards against an owner that is replaced while the store rejects only its machine with status
// 429, which may last for seconds: the owner repeated its commit directly until it was replaced
// after 3 s without a renewal.
struct rate_limited_path : path_under_test
{
  // Sends a call every 100 ms; each is answered at once.
  void answer_all(unsigned status, milliseconds span)
  {
    for (milliseconds passed{0}; passed < span; passed += milliseconds{100})
    {
      call(http::method::post);
      while (!direct.calls.empty())
        direct.answer({status, {}, {}, false});
      pass(milliseconds{100});
    }
  }
};

BOOST_FIXTURE_TEST_CASE(an_instance_that_gets_only_429_replies_uses_a_peer, rate_limited_path)
{
  peers.linked("peer", "other zone");
  answer_all(200, milliseconds{300});
  answer_all(429, milliseconds{200});
  BOOST_TEST(!path.direct_failing_since().has_value());
  BOOST_TEST(relayed.empty());
  answer_all(429, milliseconds{400});
  BOOST_TEST(path.direct_failing_since().has_value());
  BOOST_TEST(!relayed.empty());
  // Probes that are answered with 429 as well do not restore the direct path.
  relayed.clear();
  answer_all(429, milliseconds{1500});
  BOOST_TEST(path.direct_failing_since().has_value());
  answer_all(200, milliseconds{1000});
  BOOST_TEST(!path.direct_failing_since().has_value());
}

// A store at its rate limit rejects some calls; relaying them through a peer would not reduce that.
BOOST_FIXTURE_TEST_CASE(occasional_429_replies_do_not_fail_the_direct_path, rate_limited_path)
{
  peers.linked("peer", "other zone");
  for (int i = 0; i < 10; ++i)
  {
    answer_all(429, milliseconds{200});
    answer_all(200, milliseconds{100});
  }
  BOOST_TEST(!path.direct_failing_since().has_value());
  BOOST_TEST(relayed.empty());
}

BOOST_AUTO_TEST_SUITE_END()
