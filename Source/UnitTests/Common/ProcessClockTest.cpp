// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <chrono>

#include <boost/test/unit_test.hpp>

#include "Common/ProcessClock.h"

using namespace yardhill::common;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(ProcessClockTest)

// The loop ends once the clock has counted 20 ms, so the test does not depend on how fast a busy
// machine runs it; it hangs if processor time is not counted.
BOOST_AUTO_TEST_CASE(processor_time_is_counted)
{
  const duration before = process_cpu_time();
  volatile unsigned work = 0;
  while (process_cpu_time() - before < milliseconds{20})
    work = work + 1;
  BOOST_TEST((process_cpu_time() - before >= milliseconds{20}));
}

BOOST_AUTO_TEST_SUITE_END()
