// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Encoded frames decode to the same message. Truncated frames are rejected, and frames with random
// damage do not crash the decoder.

#include <random>

#include <boost/test/unit_test.hpp>

#include "Peer/FrameCodec.h"

using namespace yardhill::peer;
using namespace yardhill::common;

namespace
{
std::span<const std::uint8_t> bytes_of(const std::string& text)
{
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

forward_request sample_request()
{
  forward_request request;
  request.number = 7;
  request.hops = 2;
  request.purpose = request_purpose::cancel;
  request.fresh = false;
  request.spec.id = task_id{"preview/k1"};
  request.spec.kind = task_kind::interactive;
  request.spec.demand = {500, 256, 0, 1, 1};
  request.spec.deadline = std::chrono::seconds{3};
  request.spec.payload = "page";
  return request;
}
} // namespace

BOOST_AUTO_TEST_SUITE(frame_codec)

BOOST_AUTO_TEST_CASE(a_request_comes_back_whole)
{
  const forward_request sent = sample_request();
  const auto frame = decode(bytes_of(encode(peer_message{sent})));
  BOOST_REQUIRE(frame);
  const auto& decoded = std::get<forward_request>(std::get<peer_message>(*frame));
  BOOST_TEST(decoded.number == sent.number);
  BOOST_TEST(decoded.hops == sent.hops);
  BOOST_TEST(!decoded.fresh);
  BOOST_TEST((decoded.purpose == sent.purpose));
  BOOST_TEST((decoded.spec == sent.spec));
}

BOOST_AUTO_TEST_CASE(an_answer_of_a_megabyte_of_any_bytes_comes_back_whole)
{
  forward_answer sent;
  sent.number = 9;
  sent.reply.result = outcome::done;
  for (int index = 0; index < 1 << 20; ++index)
    sent.reply.body.push_back(static_cast<char>(index * 31));
  const auto frame = decode(bytes_of(encode(peer_message{sent})));
  BOOST_REQUIRE(frame);
  const auto& decoded = std::get<forward_answer>(std::get<peer_message>(*frame));
  BOOST_TEST((decoded.reply.body == sent.reply.body));
  BOOST_TEST((decoded.reply.result == outcome::done));
}

BOOST_AUTO_TEST_CASE(damaged_frames_are_refused_or_read_without_harm)
{
  const std::string intact = encode(peer_message{sample_request()});
  std::mt19937 random(1);
  for (int round = 0; round < 20000; ++round)
  {
    std::string damaged = intact;
    for (int damaged_byte = 0; damaged_byte < 3; ++damaged_byte)
      damaged[random() % damaged.size()] = static_cast<char>(random());
    damaged.resize(random() % (damaged.size() + 1));
    decode(bytes_of(damaged)); // must not crash; sanitizer builds also detect invalid reads
  }
  BOOST_TEST(!decode(bytes_of(intact.substr(0, intact.size() - 1))));
  BOOST_TEST(!decode({}));
}

BOOST_AUTO_TEST_CASE(lengths_out_of_bounds_are_refused)
{
  const std::array<std::uint8_t, 4> zero{};
  const std::array<std::uint8_t, 4> huge{0, 0, 0, 0x40};
  const std::array<std::uint8_t, 4> valid{0, 1, 0, 0};
  BOOST_TEST(!frame_length(zero));
  BOOST_TEST(!frame_length(huge));
  BOOST_TEST(frame_length(valid).value_or(0) == 256U);
}

BOOST_AUTO_TEST_CASE(messages_between_instances_on_the_platform_survive_the_way)
{
  advice_request sent_request{7, "job", 1, 2, 450, {"w1", "w2"}};
  auto frame = decode(bytes_of(encode(peer_message{sent_request})));
  BOOST_TEST_REQUIRE(frame.has_value());
  const auto decoded_request = std::get<advice_request>(std::get<peer_message>(*frame));
  BOOST_TEST(decoded_request.number == 7U);
  BOOST_TEST(decoded_request.workers == sent_request.workers, boost::test_tools::per_element());

  frame = decode(bytes_of(encode(peer_message{advice_reply{7, true, 2500, {{"w1", "ticket"}}}})));
  BOOST_TEST_REQUIRE(frame.has_value());
  const auto reply = std::get<advice_reply>(std::get<peer_message>(*frame));
  BOOST_TEST(reply.answered);
  BOOST_TEST_REQUIRE(reply.permitted.size() == 1U);
  BOOST_TEST(reply.permitted.front().ticket == "ticket");

  frame = decode(bytes_of(encode(peer_message{relay_request{8, 1, "/call?x=1", "body", 900}})));
  BOOST_TEST_REQUIRE(frame.has_value());
  BOOST_TEST(std::get<relay_request>(std::get<peer_message>(*frame)).target == "/call?x=1");

  frame = decode(bytes_of(encode(peer_message{relay_reply{8, 0, "", "no way", true}})));
  BOOST_TEST_REQUIRE(frame.has_value());
  BOOST_TEST(std::get<relay_reply>(std::get<peer_message>(*frame)).refused);

  frame = decode(bytes_of(encode(peer_message{job_notice{"id", "row", 9}})));
  BOOST_TEST_REQUIRE(frame.has_value());
  BOOST_TEST(std::get<job_notice>(std::get<peer_message>(*frame)).row == "row");
  BOOST_TEST(std::get<job_notice>(std::get<peer_message>(*frame)).version == 9U);

  frame = decode(bytes_of(encode(peer_message{store_reachability_query{true, 340}})));
  BOOST_TEST_REQUIRE(frame.has_value());
  BOOST_TEST(std::get<store_reachability_query>(std::get<peer_message>(*frame)).often);
  BOOST_TEST(std::get<store_reachability_query>(std::get<peer_message>(*frame)).late_ms == 340U);

  frame = decode(bytes_of(encode(peer_message{job_state_query{11, "id"}})));
  BOOST_TEST_REQUIRE(frame.has_value());
  BOOST_TEST(std::get<job_state_query>(std::get<peer_message>(*frame)).id == "id");

  frame = decode(bytes_of(encode(peer_message{job_state_reply{11, true, 2}})));
  BOOST_TEST_REQUIRE(frame.has_value());
  BOOST_TEST(std::get<job_state_reply>(std::get<peer_message>(*frame)).known);
  BOOST_TEST(std::get<job_state_reply>(std::get<peer_message>(*frame)).state == 2U);

  frame = decode(bytes_of(encode(peer_message{processor_capacity_report{250}})));
  BOOST_TEST_REQUIRE(frame.has_value());
  BOOST_TEST(std::get<processor_capacity_report>(std::get<peer_message>(*frame)).processor_millis ==
             250U);

  frame = decode(bytes_of(encode(peer_message{previous_requests_query{"cell", 7}})));
  BOOST_TEST_REQUIRE(frame.has_value());
  BOOST_TEST(std::get<previous_requests_query>(std::get<peer_message>(*frame)).partition == "cell");
  BOOST_TEST(std::get<previous_requests_query>(std::get<peer_message>(*frame)).epoch == 7U);

  frame = decode(bytes_of(encode(peer_message{previous_requests_reply{"cell", 7, 400}})));
  BOOST_TEST_REQUIRE(frame.has_value());
  BOOST_TEST(std::get<previous_requests_reply>(std::get<peer_message>(*frame)).partition == "cell");
  BOOST_TEST(std::get<previous_requests_reply>(std::get<peer_message>(*frame)).epoch == 7U);
  BOOST_TEST(std::get<previous_requests_reply>(std::get<peer_message>(*frame)).quiet_ms == 400U);

  frame = decode(bytes_of(encode(peer_message{store_reachability_report{true, 18}})));
  BOOST_TEST_REQUIRE(frame.has_value());
  BOOST_TEST(std::get<store_reachability_report>(std::get<peer_message>(*frame)).has_way);
  BOOST_TEST(std::get<store_reachability_report>(std::get<peer_message>(*frame)).newest_config ==
             18U);
}

BOOST_AUTO_TEST_SUITE_END()
