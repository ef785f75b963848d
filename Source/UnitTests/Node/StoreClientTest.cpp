// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// How long the client waits for replies of the store. Guards against a takeover that saturated
// links hold up: over links of 2 Mbit/s, the replies to the 35 reads of a takeover began after 1.5
// s and more. Each read was given up after 1.5 s and repeated after 0.15 s, also through peers with
// links as saturated, and no instance owned the partition for 50 s (3,285 failed reads).

#include <deque>

#include <boost/test/unit_test.hpp>

#include "Model/VirtualTime.h"
#include "platform/StoreClient.h"

using namespace yardhill;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
struct held_calls : http::request_sender
{
  struct held
  {
    http::request call;
    common::duration timeout{};
    http::reply_handler done;
  };
  std::deque<held> calls;

  void send(http::request call, common::duration timeout, http::reply_handler done) override
  {
    calls.push_back({std::move(call), timeout, std::move(done)});
  }
};

struct virtual_clock : adapter::clock_observer
{
  model::virtual_time time;

  common::time_point now() const override { return time.now(); }
  void heard(adapter::store_time, common::time_point) override {}
};

struct client_under_test
{
  virtual_clock clock;
  held_calls store;
  common::metrics metrics;
  adapter::store_client client{store, metrics, &clock};

  // Sends a read whose reply begins after `took`, or never.
  void read(std::optional<milliseconds> took)
  {
    client.read({"jobs", "part", {}, {}, 500}, client.patience(milliseconds{1500}),
                [](const adapter::rows_result&) {});
    const held_calls::held call = std::move(store.calls.front());
    store.calls.pop_front();
    clock.time.run_until(clock.time.now() + took.value_or(milliseconds{1500}));
    if (!took)
    {
      call.done({0, {}, "no answer in time", false});
      return;
    }
    call.call.expects->coming();
    call.call.expects->coming();
    call.done({200, R"({"rows":[],"ver":1,"now_ms":1})", {}, false});
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(StoreClientTest)

BOOST_FIXTURE_TEST_CASE(late_replies_extend_the_timeout, client_under_test)
{
  BOOST_TEST((client.patience(milliseconds{1500}) == milliseconds{1500}));
  for (int i = 0; i < 10; ++i)
    read(milliseconds{i % 2 == 0 ? 700 : 1400});
  BOOST_TEST((client.patience(milliseconds{1500}) > milliseconds{2000}));
  BOOST_TEST((client.patience(milliseconds{1500}) <= seconds{8}));
  for (int i = 0; i < 60; ++i)
    read(milliseconds{5});
  BOOST_TEST((client.patience(milliseconds{1500}) == milliseconds{1500}));
}

// A lost reply does not show how long the others take.
BOOST_FIXTURE_TEST_CASE(lost_replies_do_not_extend_the_timeout, client_under_test)
{
  for (int i = 0; i < 40; ++i)
    read(i % 3 == 0 ? std::nullopt : std::optional(milliseconds{5}));
  BOOST_TEST((client.patience(milliseconds{1500}) == milliseconds{1500}));
}

// Guards against a feed that no longer follows a table: one of its rows is not in base64.
BOOST_FIXTURE_TEST_CASE(a_row_that_is_not_base64_does_not_hide_the_others, client_under_test)
{
  std::optional<adapter::rows_result> result;
  client.read({"servers", "", {}, {}, 500}, seconds{1},
              [&result](adapter::rows_result each) { result = std::move(each); });
  store.calls.front().done({200,
                            R"({"rows":[{"private_key":"a","value":"***","ver":3},)"
                            R"({"private_key":"b","value":"e30=","ver":4}],"ver":5})",
                            {},
                            false});
  BOOST_TEST_REQUIRE(result.has_value());
  BOOST_TEST((result->end == adapter::store_outcome::done));
  BOOST_TEST_REQUIRE(result->rows.size() == 2U);
  BOOST_TEST(result->rows[0].value == "");
  BOOST_TEST(result->rows[1].value == "{}");
}

BOOST_AUTO_TEST_SUITE_END()
