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

  // Returns the holder of each partition; empty for a partition without one.
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

// If one instance owned all partitions, the cell could do no more than a single partition can.
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

// A step that needs more workers than one partition has never ran with all its tasks at once, which
// the judge reports as LOST.
BOOST_FIXTURE_TEST_CASE(a_wide_long_running_step_runs_on_workers_of_all_partitions, divided_cell)
{
  run_for(seconds{5});
  jobs::step_spec step;
  step.count = 16; // of 18 workers
  step.max_tasks_per_worker = 1;
  step.demand.cpu_millis = 500;
  step.demand.memory_mib = 100;
  step.long_running = true;
  jobs::job_spec spec;
  spec.steps.push_back(step);
  const std::string id = cell.callers().hand_in(spec);
  std::size_t max_active_runs = 0;
  for (int i = 0; i < 40; ++i)
  {
    run_for(milliseconds{50});
    max_active_runs = std::max(max_active_runs, cell.judge().active_runs());
  }
  BOOST_TEST(max_active_runs == 16U);
  cell.callers().query_all();
  run_for(seconds{1});
  BOOST_TEST((cell.callers().states().at(id) == jobs::job_state::active));
  BOOST_TEST(cell.judge().violations().empty());
}

// Both owners have to learn of the cancellation, also the one that the caller's instance does not
// know at first.
BOOST_FIXTURE_TEST_CASE(a_cancelled_long_running_job_stops_in_all_partitions, divided_cell)
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
  std::optional<http::outgoing_reply> received;
  cell.instances()[0].core->handle(
      {http::method::remove, model::k_host, model::k_plain_prefix + id, {}, {"3000"}},
      [&received](const http::outgoing_reply& answer) { received = answer; });
  run_for(seconds{2});
  BOOST_TEST_REQUIRE(received.has_value());
  BOOST_TEST(received->status == 200U);
  BOOST_TEST(cell.judge().active_runs() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
