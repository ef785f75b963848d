// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

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

BOOST_AUTO_TEST_SUITE_END()
