// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Only owners follow the workers' entries. In a cell of 147 instances and 1,100 workers, each of
// which renews its entry every 1.5 s, all instances followed them: each instance read 0.2 MB a
// second, and the cell read 1.43 GB from the store in 48 s without any trouble.

#include <boost/test/unit_test.hpp>

#include "Model/ExploredCell.h"

using namespace yardhill;
using namespace yardhill::model;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
struct renewing_cell
{
  explored_cell cell{7};

  renewing_cell() { run_for(seconds{3}); }

  // Runs the cell for `span` while all workers renew their entries ten times a second.
  void run_for(milliseconds span)
  {
    const auto end = cell.time().now() + span;
    while (cell.time().now() < end)
    {
      for (fleet_worker& each : cell.workers())
        cell.update_entry(each);
      cell.time().run_until(cell.time().now() + milliseconds{100});
    }
  }

  static std::uint64_t feed_calls_of(const explored_instance& which)
  {
    return which.metrics->value(common::counter::store_feeds);
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(FeedsByNeedTest)

// An owner's row changes twice a second and the configuration's feed call ends every 2.5 s; these
// account for the calls of an instance that owns nothing. The workers' feed alone would add two
// calls a second.
BOOST_FIXTURE_TEST_CASE(instances_without_a_partition_do_not_follow_workers, renewing_cell)
{
  std::map<std::string, std::uint64_t> before;
  for (const explored_instance& each : cell.instances())
    before[each.name] = feed_calls_of(each);
  run_for(seconds{10});
  for (const explored_instance& each : cell.instances())
  {
    const std::uint64_t calls = feed_calls_of(each) - before[each.name];
    if (each.core->owns_any())
      BOOST_TEST(calls >= 40U);
    else
      BOOST_TEST(calls <= 28U);
  }
}

// Two of the four instances are weak: these make 18 calls each, the others 24 and more.
BOOST_FIXTURE_TEST_CASE(weak_instances_make_fewer_feed_calls, renewing_cell)
{
  std::map<std::string, std::uint64_t> before;
  for (const explored_instance& each : cell.instances())
    before[each.name] = feed_calls_of(each);
  run_for(seconds{10});
  std::size_t weak = 0;
  for (const explored_instance& each : cell.instances())
    weak += feed_calls_of(each) - before[each.name] <= 19 ? 1 : 0;
  BOOST_TEST(weak == 2U);
}

BOOST_FIXTURE_TEST_CASE(a_new_owner_reads_the_worker_entries_and_uses_the_workers, renewing_cell)
{
  for (explored_instance& each : cell.instances())
  {
    if (!each.core->owns_any())
      continue;
    cell.end_instance(each);
    break;
  }
  run_for(seconds{4});
  jobs::step_spec step;
  step.count = 5;
  step.demand.cpu_millis = 1000;
  step.demand.memory_mib = 100;
  step.estimate = milliseconds{900};
  step.long_running = true;
  jobs::job_spec spec;
  spec.payload = "payload";
  spec.steps.push_back(step);
  cell.callers().hand_in(spec);
  run_for(seconds{2});
  BOOST_TEST(cell.judge().active_runs() == 5U);
  BOOST_TEST(cell.judge().violations().empty());
}

BOOST_AUTO_TEST_SUITE_END()
