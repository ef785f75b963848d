// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Runs the committed traces. Each causes faults and repairs them; all invariants must hold
// throughout.

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "Replay/BuiltInCell.h"
#include "Replay/VirtualCell.h"

using namespace yardhill::replay;

namespace
{
std::vector<std::filesystem::path> committed_traces()
{
  std::vector<std::filesystem::path> paths;
  for (const auto& entry :
       std::filesystem::directory_iterator(std::string(YARDHILL_TEST_DATA) + "/Traces"))
  {
    if (entry.path().extension() == ".jsonl")
      paths.push_back(entry.path());
  }
  std::ranges::sort(paths);
  return paths;
}

trace read_trace(const std::filesystem::path& path)
{
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  return parse_trace(text.str());
}
} // namespace

BOOST_AUTO_TEST_SUITE(traces)

BOOST_AUTO_TEST_CASE(every_committed_trace_keeps_the_invariants)
{
  const auto paths = committed_traces();
  BOOST_REQUIRE(!paths.empty());
  for (const auto& path : paths)
  {
    const trace recorded = read_trace(path);
    virtual_cell cell(recorded, built_in_document(recorded.header, 2), cell_options{});
    cell.run();
    cell.check_end();
    BOOST_TEST(!cell.checker().failed(),
               path.filename() << ": "
                               << (cell.checker().failed() ? cell.checker().failure() : ""));
  }
}

BOOST_AUTO_TEST_CASE(the_same_trace_runs_the_same_way_twice)
{
  const trace recorded = read_trace(committed_traces().front());
  const auto log_of = [&recorded]
  {
    std::string text;
    cell_options options;
    options.log = [&text](time_point at, const std::string& source, const std::string& message)
    { text += std::to_string(at.time_since_epoch().count()) + source + message + "\n"; };
    virtual_cell cell(recorded, built_in_document(recorded.header, 2), options);
    cell.run();
    return text;
  };
  BOOST_TEST((log_of() == log_of()));
}

BOOST_AUTO_TEST_CASE(a_trace_survives_a_round_trip_through_its_text)
{
  const trace recorded = read_trace(committed_traces().front());
  BOOST_TEST(to_json_lines(parse_trace(to_json_lines(recorded))) == to_json_lines(recorded));
}

BOOST_AUTO_TEST_SUITE_END()
