// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <chrono>

#include <boost/test/unit_test.hpp>

#include "Common/ProcessClock.h"

using namespace yardhill::common;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(ProcessClockTest)

// However long that takes on a busy machine: it ends only once the time has been counted.
BOOST_AUTO_TEST_CASE(work_is_counted)
{
  const duration before = process_cpu_time();
  volatile unsigned work = 0;
  while (process_cpu_time() - before < milliseconds{20})
    work = work + 1;
  BOOST_TEST((process_cpu_time() - before >= milliseconds{20}));
}

BOOST_AUTO_TEST_SUITE_END()
