// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// A restarted store may start its clock again. Earlier replies are then about another clock;
// combined with later ones, they make the future end of a lease seem long past.

#include <boost/test/unit_test.hpp>

#include "Model/VirtualTime.h"
#include "Node/StoreClock.h"

using namespace yardhill;
using adapter::store_time;
using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(StoreClockRestartTest)

BOOST_AUTO_TEST_CASE(a_clock_that_is_set_back_is_used_from_its_next_reply)
{
  model::virtual_time time;
  node::store_clock clock(time);
  const auto hear = [&](milliseconds shown)
  { clock.heard(store_time{shown}, time.now() - milliseconds{5}); };
  hear(seconds{500});
  time.run_until(time.now() + seconds{12});
  hear(seconds{512});
  time.run_until(time.now() + seconds{1});
  hear(milliseconds{40});

  const common::time_point lease_end = time.now() + seconds{3};
  const auto stated = clock.latest_store_time(lease_end);
  BOOST_TEST_REQUIRE(stated.has_value());
  BOOST_TEST((*stated >= store_time{milliseconds{3040}}));
  BOOST_TEST((*stated <= store_time{milliseconds{3050}}));
  const auto read = clock.latest_local_time(*stated);
  BOOST_TEST_REQUIRE(read.has_value());
  BOOST_TEST((*read >= lease_end));
  BOOST_TEST((*read <= lease_end + milliseconds{20}));
}

BOOST_AUTO_TEST_SUITE_END()
