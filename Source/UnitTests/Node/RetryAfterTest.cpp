// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <set>
#include <string>

#include <boost/test/unit_test.hpp>

#include "Node/RetryAfter.h"

using std::chrono::seconds;
using yardhill::node::default_retry_after;

BOOST_AUTO_TEST_SUITE(RetryAfterTest)

BOOST_AUTO_TEST_CASE(urgent_callers_retry_before_all_others)
{
  std::set<seconds> others;
  for (int i = 0; i < 100; ++i)
  {
    const std::string id = "00000000000000" + std::to_string(10 + i % 90);
    BOOST_TEST((default_retry_after(0, id) == seconds{1}));
    others.insert(default_retry_after(1, id));
    others.insert(default_retry_after(2, id));
  }
  BOOST_TEST((*others.begin() > seconds{1}));
  BOOST_TEST(others.size() == 2U); // not all at once
}

BOOST_AUTO_TEST_CASE(every_instance_gives_a_job_the_same_time)
{
  BOOST_TEST(
      (default_retry_after(2, "0123456789abcdef") == default_retry_after(2, "0123456789abcdef")));
}

BOOST_AUTO_TEST_SUITE_END()
