// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <deque>
#include <optional>
#include <utility>

#include <boost/test/unit_test.hpp>

#include "Model/VirtualTime.h"
#include "Node/AdvicePool.h"
#include "platform/AdviceClient.h"

using namespace yardhill;
using std::chrono::milliseconds;

namespace
{
constexpr const char* k_owner = "instance-1";
constexpr const char* k_peer = "instance-2";
constexpr milliseconds k_long_call{1100};

// An advice service that answers when the test says so.
struct slow_service : http::peer_sender
{
  std::deque<http::reply_handler> calls;

  void send(const common::endpoint&, http::request, common::duration,
            http::reply_handler done) override
  {
    calls.push_back(std::move(done));
  }

  void permit(const std::string& worker)
  {
    const http::reply_handler done = std::move(calls.front());
    calls.pop_front();
    done({200, R"({"good":[[")" + worker + R"(","ticket"]],"valid_ms":2500})", {}, false});
  }
};

// A peer that asks the service on behalf of the processes that bear the name k_owner one after the
// other. Its replies go to the process that bears the name at that time.
struct replaced_owner
{
  model::virtual_time time;
  slow_service service;
  adapter::advice_client client{service, {}};
  node::advice_queue peer_queue{time, client};
  common::call_numbers peer_numbers{"life-of-peer"};
  node::advice_pool peer{time, peer_numbers, peer_queue,
                         [this](const std::string&, const common::peer_message& reply)
                         { present->on_reply(k_peer, std::get<common::advice_reply>(reply)); }};

  slow_service unused;
  adapter::advice_client own_client{unused, {}};
  node::advice_queue own_queue{time, own_client};
  common::call_numbers earlier_numbers{"life-1"};
  common::call_numbers later_numbers{"life-2"};
  node::advice_pool earlier{time, earlier_numbers, own_queue, to_peer()};
  node::advice_pool later{time, later_numbers, own_queue, to_peer()};
  node::advice_pool* present = &earlier;

  replaced_owner()
  {
    earlier.peer_linked(k_peer);
    later.peer_linked(k_peer);
  }

  node::advice_pool::sender to_peer()
  {
    return [this](const std::string&, const common::peer_message& message)
    { peer.on_request(k_owner, std::get<common::advice_request>(message)); };
  }

  static scheduling::advice_command call(const std::string& job)
  {
    return {{job, 0, 0}, {common::worker_id("w-1"), common::worker_id("w-2")}, k_long_call};
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(AdvicePoolTest)

// Guards against taking the permits of one step for those of another: a peer answers a call of an
// earlier process after the owner has restarted under its name.
BOOST_FIXTURE_TEST_CASE(an_answer_to_an_earlier_process_is_not_taken_for_the_present_ones,
                        replaced_owner)
{
  bool earlier_answered = false;
  earlier.ask(call("a"), [&earlier_answered](const auto&) { earlier_answered = true; });
  present = &later;
  std::optional<scheduling::advice_answer> answer;
  later.ask(call("b"), [&answer](scheduling::advice_answer each) { answer = std::move(each); });
  service.permit("w-1");
  BOOST_TEST(!answer.has_value());
  service.permit("w-2");
  BOOST_TEST_REQUIRE(answer.has_value());
  BOOST_TEST(answer->step.job == "b");
  BOOST_TEST_REQUIRE(answer->permitted.size() == 1U);
  BOOST_TEST(answer->permitted.front().worker.value == "w-2");
  BOOST_TEST(!earlier_answered);
}

BOOST_AUTO_TEST_SUITE_END()
