// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Another writer leaves one odd entry among those of the workers, beside the good ones or in place
// of one. The instances that read it have to go on, and so has one that starts while it is there.

#include <functional>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "Model/ExploredCell.h"
#include "platform/WireNames.h"

using namespace yardhill;
using namespace yardhill::model;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
namespace wire = adapter::wire;

constexpr const char* k_stray_id = "i-odd";
constexpr std::size_t k_depth = 16000; // in both forms within the store's limit for a row

std::string nested(const std::string& open, const std::string& close)
{
  std::string text;
  for (std::size_t i = 0; i < k_depth; ++i)
    text += open;
  for (std::size_t i = 0; i < k_depth; ++i)
    text += close;
  return text;
}

// A worker's entry with one value replaced by this text.
std::string with(json entry, const char* field, const std::string& text)
{
  constexpr const char* mark = "odd value";
  entry[field] = mark;
  std::string written = entry.dump();
  const std::string quoted = std::string("\"") + mark + "\"";
  return written.replace(written.find(quoted), quoted.size(), text);
}

struct odd_entry
{
  const char* description;
  std::function<std::string(const json& good)> text;
  bool valid = false; // the odd value is in a field that is not read
};

const std::vector<odd_entry> k_odd_entries{
    {"deeply nested lists", [](const json&) { return nested("[", "]"); }},
    {"deeply nested objects", [](const json&) { return nested("{\"a\":", "}"); }},
    {"deeply nested lists in a field that nobody reads",
     [](const json& good) { return with(good, "extra", nested("[", "]")); }, true},
    {"deeply nested lists for a capacity",
     [](const json& good) { return with(good, wire::k_capacity, nested("[", "]")); }},
    {"deeply nested lists for labels",
     [](const json& good) { return with(good, wire::k_labels, nested("[", "]")); }},
    {"a capacity beyond a double",
     [](const json& good) { return with(good, wire::k_capacity, R"({"cpu":1e999,"mem_mb":1})"); }},
    {"a capacity beyond 64 bits", [](const json& good)
     { return with(good, wire::k_capacity, R"({"cpu":18446744073709551616,"mem_mb":1})"); }},
    {"a remaining time beyond 64 bits", [](const json& good)
     { return with(good, wire::k_remaining_ms, "123456789012345678901234567890"); }},
    {"a start time beyond 64 bits",
     [](const json& good) { return with(good, wire::k_born, "18446744073709551616"); }},
    {"a number that nobody reads beyond a double",
     [](const json& good) { return with(good, "sequence", "1e999"); }},
    {"a port beyond 16 bits",
     [](const json& good) { return with(good, wire::k_address, R"("10.1.0.9:65536")"); }},
    {"a port far beyond 16 bits", [](const json& good)
     { return with(good, wire::k_address, R"("10.1.0.9:99999999999999999999")"); }},
    {"a negative port",
     [](const json& good) { return with(good, wire::k_address, R"("10.1.0.9:-1")"); }},
    {"port 0", [](const json& good) { return with(good, wire::k_address, R"("10.1.0.9:0")"); }},
};

// A cell that runs jobs while the odd entry is there; all instances are started anew meanwhile.
struct disturbed_cell
{
  explored_cell cell{1};

  void run_for(milliseconds span) { cell.time().run_until(cell.time().now() + span); }

  void replace_entry_of(fleet_worker& which, const odd_entry& odd)
  {
    const std::string text = odd.text(json::parse(which.model->entry(false)));
    if (odd.valid)
    {
      cell.fleet().write_entry_of(which.settings.id, text);
      return;
    }
    which.corrupt_entry = text;
    cell.update_entry(which);
  }

  void restart_instances()
  {
    for (explored_instance& each : cell.instances())
    {
      cell.end_instance(each);
      run_for(milliseconds{500});
      cell.start_instance(each);
      run_for(seconds{2});
    }
  }

  std::string violations()
  {
    run_for(seconds{40});
    cell.callers().query_all();
    run_for(seconds{3});
    cell.judge().check_all_ended(cell.callers().states());
    std::string text;
    for (const std::string& each : cell.judge().violations())
      text += "\n  " + each;
    return text;
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(OddEntryTest)

// Guards against processes that end, or no longer follow the workers, because of an entry that
// belongs to no worker.
BOOST_AUTO_TEST_CASE(an_odd_entry_beside_the_others_disturbs_nothing)
{
  for (const odd_entry& each : k_odd_entries)
  {
    disturbed_cell disturbed;
    explored_cell& cell = disturbed.cell;
    cell.judge().expect_connectivity();
    disturbed.run_for(seconds{3});
    const json good = json::parse(cell.workers().front().model->entry(false));
    cell.fleet().write_entry_of(k_stray_id, each.text(good));
    cell.callers().submit_jobs_until(cell.time().now() + seconds{20});
    disturbed.restart_instances();
    const std::string violations = disturbed.violations();
    BOOST_TEST(violations.empty(), each.description << violations);
  }
}

// Guards against losing the runs of a worker whose entry was replaced, and against processes that
// end or no longer follow the workers.
BOOST_AUTO_TEST_CASE(an_odd_entry_in_place_of_a_good_one_disturbs_nothing)
{
  for (const odd_entry& each : k_odd_entries)
  {
    disturbed_cell disturbed;
    explored_cell& cell = disturbed.cell;
    cell.judge().expect_connectivity();
    disturbed.run_for(seconds{3});
    fleet_worker& which = cell.workers().front();
    cell.callers().submit_jobs_until(cell.time().now() + seconds{20});
    disturbed.run_for(seconds{2});
    disturbed.replace_entry_of(which, each);
    disturbed.run_for(seconds{10});
    disturbed.restart_instances();
    which.corrupt_entry.clear();
    cell.update_entry(which);
    const std::string violations = disturbed.violations();
    BOOST_TEST(violations.empty(), each.description << violations);
  }
}

// Guards against leases that lapse because a worker is called at an address that only its odd
// entry names.
BOOST_AUTO_TEST_CASE(runs_go_on_while_the_workers_entry_is_odd)
{
  for (const odd_entry& each : k_odd_entries)
  {
    disturbed_cell disturbed;
    explored_cell& cell = disturbed.cell;
    disturbed.run_for(seconds{3});
    cell.callers().submit_long_running();
    disturbed.run_for(seconds{3});
    for (fleet_worker& which : cell.workers())
      disturbed.replace_entry_of(which, each);
    disturbed.run_for(seconds{20});
    BOOST_TEST(cell.judge().lapsed() == 0U, each.description);
  }
}

BOOST_AUTO_TEST_SUITE_END()
