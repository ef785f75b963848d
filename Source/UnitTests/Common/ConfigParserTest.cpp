// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Configuration and settings files with mistakes. Each mistake must be reported with its file, its
// field, what is wrong and what is allowed.

#include <map>

#include <boost/test/unit_test.hpp>

#include "Common/ConfigParser.h"
#include "Common/InstanceSettings.h"

using namespace yardhill::common;

namespace
{
const std::string k_cell = R"({"cell": {"zones": [{"name": "a", "workers": [
  {"prefix": "a", "count": 3, "host": "127.0.0.1", "first_port": 1000, "processors": 4,
   "memory": "8GiB"}]}]}, "teams": [{"name": "t"}]})";

std::string workload(const std::string& fields)
{
  return R"({"workloads": [{"name": "w", "team": "t", "processors": 1, "memory": "1GiB", )" +
         fields + "}]}";
}

std::string first_problem(const std::string& text)
{
  problem_list problems;
  parse_cell_config({{"cell", k_cell}, {"file", text}}, problems);
  return problems.empty() ? "" : to_text(problems.front());
}
} // namespace

BOOST_AUTO_TEST_SUITE(config_parser)

BOOST_AUTO_TEST_CASE(accepts_a_set_with_comments)
{
  problem_list problems;
  const auto cell = parse_cell_config(
      {{"cell", k_cell}, {"file", "// a comment\n" + workload(R"("kind": "batch")")}}, problems);
  BOOST_REQUIRE(cell);
  BOOST_TEST(cell->zones.front().workers.size() == 3U);
  BOOST_TEST(cell->find_workload(workload_id{"w"})->demand.memory_mib == 1024);
}

// Every partition must keep the majority of its workers if a rack is lost.
BOOST_AUTO_TEST_CASE(partitions_share_the_workers_of_each_rack)
{
  problem_list problems;
  const auto cell =
      parse_cell_config({{"cell", R"({"cell": {"zones": [{"name": "a", "partitions": 4, "workers": [
        {"prefix": "a", "count": 32, "per_rack": 8, "host": "127.0.0.1", "first_port": 1000,
         "processors": 4, "memory": "8GiB"}]}]}})"}},
                        problems);
  BOOST_REQUIRE(cell);
  std::map<std::pair<rack_id, std::uint32_t>, int> worker_counts;
  for (const worker_config& worker : cell->zones.front().workers)
    ++worker_counts[{worker.rack, worker.partition}];
  BOOST_TEST(worker_counts.size() == 16U);
  for (const auto& [rack_and_partition, count] : worker_counts)
    BOOST_TEST(count == 2);
}

BOOST_AUTO_TEST_CASE(reports_each_mistake)
{
  const std::pair<std::string, std::string> mistakes[] = {
      {workload(R"("kind": "bach")"),
       R"(file: workloads[0].kind: is "bach"; allowed: interactive, service, gang or batch)"},
      {workload(R"("kind": "batch", "expected_run": "5")"),
       R"(file: workloads[0].expected_run: is "5"; allowed: a number and a unit, such as 250ms, 5s, 2min, 1h or 3d)"},
      {workload(R"("kind": "gang")"),
       "file: workloads[0].members: is missing; allowed: a whole number from 2 to 1000"},
      {workload(R"("kind": "service", "replicas": 1, "repeatable": false)"),
       "file: workloads[0].repeatable: is false for a service; allowed: true: a lost replica is "
       "replaced"},
      {workload(R"("kind": "batch", "colour": 1)"),
       "file: workloads[0].colour: is not a known "
       "field; allowed: accelerators, connections, deadline, expected_run, kind, max_attempts, "
       "memory, name, priority, processors, repeatable, team, zones"},
      {workload(R"("kind": "batch", "zones": ["b"])"),
       R"(file: workloads.w.zones: names the unknown zone "b"; allowed: a zone of this set)"},
      {R"({"teams": [{"name": "t"}]})",
       R"(the set: teams: names "t" twice; allowed: each name once)"},
      {R"({"teams": {}})", "file: teams: is not a list; allowed: a list of objects"},
      {R"({"teams": [)",
       "file: not JSON: parse error at line 1, column 12: syntax error while "
       "parsing value - unexpected end of input; expected '[', '{', or a literal; allowed: JSON "
       "with comments"},
  };
  for (const auto& [text, expected] : mistakes)
    BOOST_TEST(first_problem(text) == expected);
}

BOOST_AUTO_TEST_CASE(reports_all_mistakes_in_a_settings_file)
{
  problem_list problems;
  const auto settings = parse_instance_settings(
      R"({"name": "a", "http": {"address": "127.0.0.1", "port": 70000},
          "peer": {"address": "127.0.0.1", "port": 1}, "platform": "x",
          "timing": {"claim_wait": "5s"}})",
      "settings", problems);
  BOOST_TEST(!settings);
  std::vector<std::string> fields;
  for (const file_problem& problem : problems)
    fields.push_back(problem.field);
  const std::vector<std::string> expected{"zone",
                                          "http.port",
                                          "platform",
                                          "timing.claim_timeout",
                                          "timing.ticket_life",
                                          "timing.confirm_window"};
  BOOST_TEST(fields == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(compares_list_entries_by_name_not_by_position)
{
  const std::string before = R"({"teams": [{"name": "b", "weight": 1}]})";
  const std::string after = R"({"teams": [{"name": "a"}, {"name": "b", "weight": 2}]})";
  const std::vector<std::string> fields = differing_fields(before, after);
  const std::vector<std::string> expected{"/teams/b/weight: replace 2", "/teams/a: add"};
  BOOST_TEST(fields == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
