// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <string>

#include <boost/test/unit_test.hpp>

#include "Node/JobStoreHarness.h"
#include "Node/TableFeed.h"

using namespace yardhill;
using std::chrono::milliseconds;

namespace
{
constexpr const char* k_table = "entries";
constexpr milliseconds k_batch_window{400};

// A feed of a table of workers' entries that fetches changes together, at a store that sends at
// most 500 rows in a reply.
struct followed_table
{
  model::virtual_time time;
  common::metrics metrics;
  node::scripted_store wire{time};
  adapter::store_client client{wire, metrics};
  std::size_t heard = 0;
  node::table_feed feed{time,
                        client,
                        k_table,
                        {""},
                        {[](const std::vector<adapter::row>&) {},
                         [this](const std::vector<adapter::row>& rows) { heard += rows.size(); },
                         {},
                         k_batch_window,
                         false}};

  followed_table()
  {
    wire.store.limit_feed_replies(500);
    feed.start();
    pass(milliseconds{10});
  }

  void pass(milliseconds span) { time.run_until(time.now() + span); }
  void renew(std::size_t entries)
  {
    for (std::size_t i = 0; i < entries; ++i)
      wire.store.put({k_table, "", "worker-" + std::to_string(i)}, "entry");
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(TableFeedTest)

// Guards against a feed that falls further and further behind while workers renew more entries than
// one reply has in each batch window, so that starts reach workers that left long ago.
BOOST_FIXTURE_TEST_CASE(replies_that_are_full_are_continued_at_once, followed_table)
{
  renew(1);
  pass(milliseconds{10});
  heard = 0;
  renew(2000);
  pass(k_batch_window + milliseconds{10});
  BOOST_TEST(heard == 2000U);
}

BOOST_FIXTURE_TEST_CASE(a_feed_is_incomplete_until_its_last_full_reply_is_continued, followed_table)
{
  renew(1);
  pass(milliseconds{10});
  renew(700);
  const common::time_point changed = time.now();
  wire.fates = {node::fate::answered, node::fate::held};
  pass(k_batch_window + milliseconds{10});
  BOOST_TEST((feed.known_until() <= changed + k_batch_window + milliseconds{1}));
}

// The load of a usual cell: changes within the window are fetched by one call.
BOOST_FIXTURE_TEST_CASE(replies_that_are_not_full_wait_for_further_changes, followed_table)
{
  renew(1);
  pass(milliseconds{10});
  const int before = wire.calls;
  for (int i = 0; i < 8; ++i)
  {
    renew(20);
    pass(k_batch_window / 8);
  }
  BOOST_TEST(wire.calls - before <= 2);
}

BOOST_AUTO_TEST_SUITE_END()
