// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <chrono>

#include <boost/test/unit_test.hpp>

#include "Common/BootClock.h"

using namespace yardhill::common;

BOOST_AUTO_TEST_SUITE(BootClockTest)

// The difference between the two clocks is the time for which the machine was suspended.
BOOST_AUTO_TEST_CASE(it_is_never_behind_the_steady_clock)
{
  const auto steady = std::chrono::steady_clock::now().time_since_epoch();
  const time_point first = boot_time();
  BOOST_TEST((first.time_since_epoch() >= std::chrono::floor<duration>(steady)));
  BOOST_TEST((boot_time() >= first));
}

BOOST_AUTO_TEST_SUITE_END()
