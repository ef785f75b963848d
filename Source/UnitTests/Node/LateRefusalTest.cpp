// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// A caller hears nothing of a job that it hands in, since its connection breaks or the instance
// freezes, and the instance has not got the job's row written yet. The caller sends the job again;
// another instance puts the mark of a refusal in the row's place and says that the job never runs.
// When the first instance writes once more it meets that mark, and must not replace it: only a call
// that came after a refusal may.

#include <boost/test/unit_test.hpp>

#include "Node/JobStoreHarness.h"

using namespace yardhill;
using node::accept_outcome;
using node::accept_result;
using node::accepting;
using node::fate;
using std::chrono::milliseconds;

namespace
{
struct two_tries : accepting
{
  // An instance that takes jobs has heard the store: it has its configuration from there.
  two_tries() { BOOST_TEST_REQUIRE(!kept()); }

  void hand_in(std::optional<accept_result>& end)
  {
    submit([&end](const accept_result& result) { end = result; });
  }

  void run_for(milliseconds span) { time.run_until(time.now() + span); }

  std::optional<accept_result> first;
  std::optional<accept_result> second;
};
} // namespace

BOOST_AUTO_TEST_SUITE(LateRefusalTest)

BOOST_FIXTURE_TEST_CASE(a_call_that_came_before_the_refusal_does_not_replace_its_mark, two_tries)
{
  wire.fates = {fate::turned_away, fate::lost};
  hand_in(first);
  run_for(milliseconds{20});
  hand_in(second);
  run_for(milliseconds{20});
  BOOST_TEST_REQUIRE(second.has_value());
  BOOST_TEST_REQUIRE((second->end == accept_outcome::refused));
  BOOST_TEST_REQUIRE(!first.has_value());
  run_for(std::chrono::seconds{4});
  BOOST_TEST_REQUIRE(first.has_value());
  BOOST_TEST((first->end != accept_outcome::accepted));
  BOOST_TEST(!kept());
}

BOOST_FIXTURE_TEST_CASE(a_call_that_came_after_the_refusal_replaces_its_mark, two_tries)
{
  wire.fates = {fate::lost};
  hand_in(second);
  run_for(milliseconds{20});
  BOOST_TEST_REQUIRE(second.has_value());
  BOOST_TEST_REQUIRE((second->end == accept_outcome::refused));
  hand_in(first);
  run_for(milliseconds{20});
  BOOST_TEST_REQUIRE(first.has_value());
  BOOST_TEST((first->end == accept_outcome::accepted));
  BOOST_TEST(kept());
}

BOOST_AUTO_TEST_SUITE_END()
