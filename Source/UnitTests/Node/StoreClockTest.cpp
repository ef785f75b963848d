// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>

#include "Model/VirtualTime.h"
#include "Node/StoreClock.h"

using namespace yardhill;
using adapter::store_time;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr store_time k_begin{milliseconds{51230}};

// The store's clock runs beside ours; answers take a while to come.
struct shared_clock
{
  model::virtual_time time;
  node::store_clock clock{time};
  common::time_point begin = time.now();

  void pass(milliseconds span) { time.run_until(time.now() + span); }
  store_time shown() const
  {
    return k_begin + std::chrono::floor<milliseconds>(time.now() - begin);
  }
  void hear(milliseconds way) { clock.heard(shown() - way); }
};
} // namespace

BOOST_AUTO_TEST_SUITE(StoreClockTest)

BOOST_FIXTURE_TEST_CASE(nothing_is_known_before_the_first_answer, shared_clock)
{
  BOOST_TEST(!clock.at(time.now()).has_value());
  BOOST_TEST(!clock.age_of(k_begin).has_value());
}

BOOST_FIXTURE_TEST_CASE(the_answer_with_the_shortest_way_counts, shared_clock)
{
  hear(milliseconds{40});
  hear(milliseconds{2});
  hear(milliseconds{300});
  pass(milliseconds{1000});
  BOOST_TEST((clock.at(time.now()) == shown() - milliseconds{2}));
  BOOST_TEST((clock.at(begin) == k_begin - milliseconds{2}));
  BOOST_TEST((clock.age_of(k_begin) == milliseconds{998}));
}

BOOST_FIXTURE_TEST_CASE(what_is_known_from_the_future_is_not_old, shared_clock)
{
  hear(milliseconds{0});
  BOOST_TEST((clock.age_of(shown() + milliseconds{5}) == common::duration{0}));
}

// Ours runs fast: the store's falls behind, and early answers would keep it ahead for ever.
BOOST_FIXTURE_TEST_CASE(answers_of_long_ago_do_not_count, shared_clock)
{
  hear(milliseconds{0});
  for (int i = 1; i <= 30; ++i)
  {
    pass(seconds{1});
    hear(milliseconds{2 * i});
  }
  const auto now = clock.at(time.now());
  BOOST_TEST_REQUIRE(now.has_value());
  BOOST_TEST((shown() - *now >= milliseconds{20}));
}

BOOST_FIXTURE_TEST_CASE(without_answers_the_latest_known_goes_on, shared_clock)
{
  hear(milliseconds{3});
  pass(seconds{60});
  BOOST_TEST((clock.at(time.now()) == shown() - milliseconds{3}));
}

BOOST_AUTO_TEST_SUITE_END()
