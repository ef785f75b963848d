// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <algorithm>
#include <optional>
#include <set>

#include <boost/test/unit_test.hpp>

#include "Model/ExploredCell.h"
#include "Node/OwnerRow.h"

using namespace yardhill;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
// A cell of two weak and two strong instances, divided into two partitions.
struct divided_cell
{
  node::cell_layout layout{2};
  model::explored_cell cell{1, 2};

  void run_for(milliseconds span) { cell.time().run_until(cell.time().now() + span); }

  // The holders of the partitions; empty where there is none.
  std::vector<std::string> holders()
  {
    std::vector<std::string> found;
    for (const std::string& name : layout.names())
    {
      const auto value = cell.store().value(node::owner_key(name));
      found.push_back(value ? node::owner_row_from(*value)->holder : "");
    }
    return found;
  }
};

const std::set<std::string> k_strong{"instance-1", "instance-3"};
} // namespace

BOOST_AUTO_TEST_SUITE(PartitionsTest)

// One instance that owned all partitions would be the ceiling that one partition is.
BOOST_FIXTURE_TEST_CASE(each_strong_instance_owns_one_partition, divided_cell)
{
  run_for(seconds{5});
  const auto owners = holders();
  BOOST_TEST(std::set<std::string>(owners.begin(), owners.end()) == k_strong);
}

BOOST_FIXTURE_TEST_CASE(the_last_strong_instance_owns_both_until_another_one_is_back, divided_cell)
{
  run_for(seconds{5});
  cell.end_instance(cell.instances()[1]);
  run_for(seconds{6});
  BOOST_TEST((holders() == std::vector<std::string>(2, "instance-3")));
  cell.start_instance(cell.instances()[1]);
  run_for(seconds{6});
  const auto owners = holders();
  BOOST_TEST(std::set<std::string>(owners.begin(), owners.end()) == k_strong);
}

// A step that wants more workers than a partition has was never whole (LOST).
BOOST_FIXTURE_TEST_CASE(a_wide_step_that_lasts_runs_on_workers_of_all_partitions, divided_cell)
{
  run_for(seconds{5});
  jobs::step_spec step;
  step.count = 16; // of 18 workers
  step.most_per_worker = 1;
  step.demand.cpu_millis = 500;
  step.demand.memory_mib = 100;
  step.long_running = true;
  jobs::job_spec spec;
  spec.steps.push_back(step);
  const std::string id = cell.callers().hand_in(spec);
  std::size_t most = 0;
  for (int i = 0; i < 40; ++i)
  {
    run_for(milliseconds{50});
    most = std::max(most, cell.judge().active_runs());
  }
  BOOST_TEST(most == 16U);
  cell.callers().query_all();
  run_for(seconds{1});
  BOOST_TEST((cell.callers().states().at(id) == jobs::job_state::active));
  BOOST_TEST(cell.judge().violations().empty());
}

// Both owners have to hear of it, the one that the caller's instance does not know first as well.
BOOST_FIXTURE_TEST_CASE(a_cancelled_job_that_lasts_stops_in_all_partitions, divided_cell)
{
  run_for(seconds{5});
  jobs::step_spec step;
  step.count = 12;
  step.demand.cpu_millis = 500;
  step.demand.memory_mib = 100;
  step.long_running = true;
  jobs::job_spec spec;
  spec.steps.push_back(step);
  const std::string id = cell.callers().hand_in(spec);
  run_for(seconds{1});
  BOOST_TEST(cell.judge().active_runs() > 6U);
  std::optional<http::outgoing_answer> got;
  cell.instances()[0].core->handle(
      {http::method::remove, model::k_host, model::k_plain_prefix + id, {}, "3000"},
      [&got](const http::outgoing_answer& answer) { got = answer; });
  run_for(seconds{2});
  BOOST_TEST_REQUIRE(got.has_value());
  BOOST_TEST(got->status == 200U);
  BOOST_TEST(cell.judge().active_runs() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
