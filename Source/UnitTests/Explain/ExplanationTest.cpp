// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "Explain/Explanation.h"

using namespace yardhill::explain;
using std::chrono::milliseconds;

namespace
{
constexpr const char* k_id = "0123456789abcdef";

// A log line that `process` wrote `at_ms` milliseconds after noon.
log_line line(int at_ms, const std::string& process, const std::string& rest)
{
  char time[64];
  std::snprintf(time, sizeof time, "2026-12-02T12:00:%02d.%03d+00:00", at_ms / 1000, at_ms % 1000);
  const auto read = log_line_from("host-1 {\"time\":\"" + std::string(time) + "\",\"process\":\"" +
                                  process + "\"," + rest + "}");
  BOOST_TEST_REQUIRE(read.has_value());
  return *read;
}

std::string of_request(const std::string& event, const std::string& rest = "")
{
  return "\"event\":\"" + event + "\",\"request\":\"" + k_id + "\"" + rest;
}
} // namespace

BOOST_AUTO_TEST_SUITE(ExplanationTest)

BOOST_AUTO_TEST_CASE(other_lines_are_skipped)
{
  BOOST_TEST(!log_line_from("").has_value());
  BOOST_TEST(!log_line_from("a line of another program").has_value());
  BOOST_TEST(!log_line_from("{\"event\":\"no time\"}").has_value());
  BOOST_TEST(!log_line_from("{\"time\":\"2026-13-02T12:00:00.000\",\"event\":\"x\"}").has_value());
}

BOOST_AUTO_TEST_CASE(a_refusal_is_explained_by_its_reason)
{
  const auto explained =
      explain(k_id, {line(10, "a",
                          of_request("refused", ",\"status\":503,\"reason\":\"store_unavailable\","
                                                "\"detail\":\"no way\",\"after_ms\":900.0"))});
  BOOST_TEST((explained.result == outcome::refused));
  BOOST_TEST(explained.cause == "refused with 503, store_unavailable: no way, after 0.90 s");
}

BOOST_AUTO_TEST_CASE(a_refusal_is_explained_with_its_evidence)
{
  const auto explained =
      explain(k_id, {line(10, "a",
                          of_request("refused", ",\"status\":503,\"reason\":\"config_invalid\","
                                                "\"detail\":\"too early\",\"row\":\"none\","
                                                "\"instance_age_ms\":150.0,\"after_ms\":0.0"))});
  BOOST_TEST(explained.cause ==
             "refused with 503, config_invalid: too early, after 0.00 s; the job's "
             "row: none, the instance's age: 0.15 s");
}

BOOST_AUTO_TEST_CASE(a_late_job_is_explained_by_events_in_its_longest_wait)
{
  const std::vector<log_line> log{
      // The request's lines do not name this worker.
      line(9000, "c", "\"event\":\"worker_silent\",\"worker\":\"w9\""),
      line(100, "a", of_request("job_accepted")),
      line(140, "b", of_request("tasks_started", ",\"step\":0")),
      line(500, "b", "\"event\":\"partition_lost\",\"why\":\"stopped\""),
      line(5000, "c", "\"event\":\"tasks_accounted\""),
      line(4000, "a", of_request("state_shown")),
      line(5200, "c", of_request("tasks_started", ",\"step\":1")),
      line(6000, "c",
           of_request("job_ended", ",\"state\":\"completed\",\"before_objective_ms\":-3000.0")),
      line(7000, "c", "\"event\":\"store_lost\""), // after the request's end
  };
  const auto explained = explain(k_id, log);
  BOOST_TEST((explained.result == outcome::late));
  BOOST_TEST(explained.longest_wait.count() == 5060);
  BOOST_TEST_REQUIRE(explained.delays.size() == 2U);
  BOOST_TEST(explained.delays[0].event == "partition_lost");
  BOOST_TEST(explained.delays[1].event == "tasks_accounted");
  BOOST_TEST(explained.lines.size() == 5U);
  BOOST_TEST(to_text(explained).find("|    4.900  c  tasks_accounted") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_task_that_does_not_run_is_explained_by_its_waits)
{
  const auto waits = [](int at, const std::string& wait, const std::string& rest)
  {
    return line(at, "b",
                of_request("lasting_task_waits",
                           ",\"step\":0,\"task\":0,\"wait\":\"" + wait + "\"" + rest));
  };
  const std::vector<log_line> log{
      line(100, "a", of_request("job_accepted")),
      line(200, "b", of_request("tasks_started")),
      waits(8000, "run_silent", ",\"waited_ms\":3100.0,\"worker\":\"w1\",\"zone\":\"z2\""),
      waits(9000, "run_silent", ",\"waited_ms\":4100.0,\"worker\":\"w1\",\"zone\":\"z2\""),
      waits(10000, "renewal", ",\"waited_ms\":5100.0,\"worker\":\"\""),
      line(12000, "c", of_request("tasks_started")),
  };
  const auto explained = explain(k_id, log);
  BOOST_TEST(explained.longest_wait.count() == 11800); // a line that reports a wait does not end it
  BOOST_TEST(explained.cause.find(
                 "; a long-running task did not run: run_silent (2 lines, up to 4.10 s, "
                 "worker w1 in zone z2), renewal (1 line, up to 5.10 s)") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_late_loop_counts_if_its_process_logged_the_request)
{
  const auto late = [](int at, const std::string& process, const std::string& by)
  { return line(at, process, "\"event\":\"counters\",\"loop_late_worst_ms\":" + by); };
  const std::vector<log_line> log{
      line(100, "a", of_request("job_accepted")),
      late(1000, "a", "200.0"),
      late(2000, "b", "640.0"),
      late(3000, "b", "310.0"),
      late(4000, "other", "2000.0"),
      line(5000, "b",
           of_request("job_ended", ",\"state\":\"completed\","
                                   "\"before_objective_ms\":-3000.0")),
  };
  const auto explained = explain(k_id, log);
  BOOST_TEST((explained.result == outcome::late));
  BOOST_TEST(explained.delays.size() == 2U);
  BOOST_TEST(explained.cause.find("; the loop of b was up to 0.64 s late") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_job_that_crashed_its_workers_is_explained_as_such)
{
  const auto explained = explain(
      k_id, {line(0, "a", of_request("job_accepted")),
             line(900, "a",
                  of_request("task_given_up", ",\"step\":1,\"task\":2,\"crashes\":3,\"unclear\":1,"
                                              "\"unanswered\":0")),
             line(901, "a", of_request("job_ended", ",\"state\":\"failed\""))});
  BOOST_TEST((explained.result == outcome::failed));
  BOOST_TEST(explained.cause.find("task 2 of step 1 was given up: 3 workers crashed") == 0U);
}

BOOST_AUTO_TEST_CASE(a_failed_job_is_explained_by_where_its_runs_failed)
{
  const auto failed = [](int at, const char* worker)
  {
    return line(
        at, "a",
        of_request("run_ended", std::string(",\"how\":\"failed\",\"worker\":\"") + worker + "\""));
  };
  const auto explained =
      explain(k_id, {line(0, "a", of_request("job_accepted")), failed(500, "w1"), failed(900, "w2"),
                     line(901, "a", of_request("job_ended", ",\"state\":\"failed\""))});
  BOOST_TEST((explained.result == outcome::failed));
  BOOST_TEST(explained.cause.find("2 runs failed on 2 workers") == 0U);
}

BOOST_AUTO_TEST_CASE(a_request_that_no_line_names_is_unknown)
{
  const auto explained = explain(k_id, {line(0, "a", "\"event\":\"started\"")});
  BOOST_TEST((explained.result == outcome::unknown));
  BOOST_TEST(explained.lines.empty());
}

BOOST_AUTO_TEST_SUITE_END()
