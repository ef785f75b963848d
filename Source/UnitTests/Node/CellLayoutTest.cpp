// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <map>

#include <boost/test/unit_test.hpp>

#include "Node/CellLayout.h"
#include "Node/OwnerRow.h"

using namespace yardhill;
using node::cell_layout;

BOOST_AUTO_TEST_SUITE(CellLayoutTest)

BOOST_AUTO_TEST_CASE(a_small_cell_is_one_partition)
{
  const cell_layout layout(1);
  BOOST_TEST(layout.size() == 1U);
  BOOST_TEST(layout.partition_of_worker({"10.1.0.1", 80}) == node::k_whole_cell);
  BOOST_TEST(layout.partitions_of_job("00000000000000aa").front() == node::k_whole_cell);
  BOOST_TEST(layout.partitions_of_job("00000000000000aa").back() == node::k_whole_cell);
}

// A partition with too few of the cell's workers would be full while others have free capacity.
BOOST_AUTO_TEST_CASE(workers_and_jobs_are_spread_evenly)
{
  constexpr int k_count = 4000;
  const cell_layout layout(4);
  std::map<std::string, int> workers;
  std::map<std::string, int> jobs;
  for (int i = 0; i < k_count; ++i)
  {
    ++workers[layout.partition_of_worker(
        {"10." + std::to_string(i % 5) + ".64." + std::to_string(i / 5), 8022})];
    const auto [first, second] = layout.partitions_of_job("job-" + std::to_string(i));
    BOOST_TEST(first != second);
    ++jobs[first];
  }
  for (const std::string& name : layout.names())
  {
    BOOST_TEST(std::abs(workers[name] - k_count / 4) < k_count / 40);
    BOOST_TEST(std::abs(jobs[name] - k_count / 4) < k_count / 40);
  }
}

// A task that belongs to no partition would never run; one that belongs to two would run twice.
BOOST_AUTO_TEST_CASE(each_task_of_a_shared_job_has_one_partition)
{
  const cell_layout layout(3);
  for (std::uint32_t index = 0; index < 10; ++index)
  {
    int partitions = 0;
    for (const std::string& name : layout.names())
      partitions += layout.share_of(name).has(index) ? 1 : 0;
    BOOST_TEST(partitions == 1);
  }
}

BOOST_AUTO_TEST_SUITE_END()
