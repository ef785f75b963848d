// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <cstddef>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "Common/EventLog.h"
#include "LoggedLines.h"

using namespace yardhill;
using common::bytes_to_write;

namespace
{
constexpr int k_flood = 20000;
} // namespace

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

// Guards against a job whose end cannot be found in the log because callers asked for the states of
// other jobs.
BOOST_AUTO_TEST_CASE(a_decision_is_written_after_a_flood_of_repeating_lines)
{
  const auto lines = common::lines_logged_by(
      []
      {
        for (int i = 0; i < k_flood; ++i)
          common::log_request("state_shown", "00000000000000aa", {});
        common::log_decision("job_ended", "00000000000000bb", {{"state", "done"}});
      });
  const nlohmann::json* const ended = common::find_event(lines, "job_ended");
  BOOST_TEST_REQUIRE(ended != nullptr);
  BOOST_TEST(ended->at("request") == "00000000000000bb");
  const nlohmann::json* const dropped = common::find_event(lines, "log_lines_dropped");
  BOOST_TEST_REQUIRE(dropped != nullptr);
  BOOST_TEST(dropped->at("repeating").get<int>() > 0);
  BOOST_TEST(dropped->at("decisions") == 0);
  BOOST_TEST(dropped->at("lines") == dropped->at("repeating"));
  // Every line was either written or counted, but for the line that has the count.
  BOOST_TEST(lines.size() - 1 + dropped->at("total").get<std::size_t>() ==
             static_cast<std::size_t>(k_flood) + 1);
}

// Guards against a log that costs more than the service when decisions themselves are the flood.
BOOST_AUTO_TEST_CASE(dropped_decisions_are_counted_as_such)
{
  const auto lines = common::lines_logged_by(
      []
      {
        for (int i = 0; i < k_flood; ++i)
          common::log_decision("refused", "00000000000000aa", {});
      });
  const nlohmann::json* const dropped = common::find_event(lines, "log_lines_dropped");
  BOOST_TEST_REQUIRE(dropped != nullptr);
  BOOST_TEST(dropped->at("decisions").get<int>() > 0);
  BOOST_TEST(dropped->at("repeating") == 0);
  BOOST_TEST(lines.size() - 1 + dropped->at("total").get<std::size_t>() ==
             static_cast<std::size_t>(k_flood));
}

BOOST_AUTO_TEST_SUITE_END()
