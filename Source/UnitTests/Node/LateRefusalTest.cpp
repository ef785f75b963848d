// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Guards against a job that runs after its refusal. A caller gets no answer to its submission,
// since its connection breaks or the instance freezes before the job's row is written. The caller
// submits the job again; another instance writes a refusal mark in place of the row and answers
// that the job never runs. When the first instance repeats its write, it finds the mark and must
// not replace it: only a submission that came after the refusal may.

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
  // An instance that accepts jobs has read from the store before, since its configuration comes
  // from there; kept() does such a read.
  two_tries() { BOOST_TEST_REQUIRE(!kept()); }

  void submit_job(std::optional<accept_result>& end, milliseconds timeout = std::chrono::seconds{3})
  {
    submit([&end](const accept_result& result) { end = result; }, timeout);
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
  submit_job(first);
  run_for(milliseconds{20});
  submit_job(second, k_one_write);
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
  submit_job(second, k_one_write);
  run_for(milliseconds{20});
  BOOST_TEST_REQUIRE(second.has_value());
  BOOST_TEST_REQUIRE((second->end == accept_outcome::refused));
  submit_job(first);
  run_for(milliseconds{20});
  BOOST_TEST_REQUIRE(first.has_value());
  BOOST_TEST((first->end == accept_outcome::accepted));
  BOOST_TEST(kept());
}

BOOST_AUTO_TEST_SUITE_END()
