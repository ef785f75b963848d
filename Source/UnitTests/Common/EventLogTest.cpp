// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>

#include "Common/EventLog.h"

using yardhill::common::bytes_to_write;

BOOST_AUTO_TEST_SUITE(EventLogTest)

// Guards against torn lines: a takeover wrote 8 KiB of lines to the pipe at once, and one of them
// reached the reader without its end.
BOOST_AUTO_TEST_CASE(only_whole_lines_are_written_together)
{
  BOOST_TEST(bytes_to_write("one\ntwo\n", 100) == 8U);
  BOOST_TEST(bytes_to_write("one\ntwo\nthree\n", 10) == 8U);
  BOOST_TEST(bytes_to_write("one\ntwo\nthree\n", 8) == 8U);
  BOOST_TEST(bytes_to_write("one\ntwo\nthree\n", 7) == 4U);
}

BOOST_AUTO_TEST_CASE(a_line_that_is_too_long_is_written_in_parts)
{
  BOOST_TEST(bytes_to_write("a long line\nanother\n", 5) == 5U);
  BOOST_TEST(bytes_to_write("", 5) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
