// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>

#include "Node/LayoutManager.h"
#include "Node/OwnerHarness.h"

using namespace yardhill;
using node::cell_size;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
// Instances that call tick() every 25 ms.
struct managers_under_test
{
  model::virtual_time time;
  common::metrics metrics;
  node::store_wire wire{time};
  adapter::store_client store{wire, metrics, nullptr};
  node::layout_manager manager{time, store, 0};
  node::layout_manager other{time, store, 0};

  managers_under_test()
  {
    manager.rows_read();
    other.rows_read();
  }

  void pass(node::layout_manager& which, cell_size size, milliseconds span)
  {
    const auto end = time.now() + span;
    while (time.now() < end)
    {
      which.tick(size);
      time.run_until(time.now() + milliseconds{25});
    }
  }

  std::size_t partitions(const node::layout_manager& which) const
  {
    return which.layout() ? which.layout()->size() : 0;
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(LayoutManagerTest)

BOOST_FIXTURE_TEST_CASE(few_instances_make_one_partition_whatever_the_workers, managers_under_test)
{
  pass(manager, {7, 1000}, milliseconds{500});
  BOOST_TEST(partitions(manager) == 0U); // other instances may not have been found yet
  pass(manager, {7, 1000}, seconds{1});
  BOOST_TEST(partitions(manager) == 1U);
}

// Guards against a count that is taken too early: workers that register over some seconds were
// taken for all that there are.
BOOST_FIXTURE_TEST_CASE(the_worker_count_is_used_once_it_is_stable, managers_under_test)
{
  for (std::size_t workers = 0; workers <= 1100; workers += 110)
    pass(manager, {147, workers}, milliseconds{400});
  BOOST_TEST(manager.needs_worker_count());
  BOOST_TEST(partitions(manager) == 0U);
  pass(manager, {147, 1100}, seconds{2});
  BOOST_TEST(partitions(manager) == 4U);
  BOOST_TEST(!manager.needs_worker_count());
}

BOOST_FIXTURE_TEST_CASE(many_instances_with_few_workers_make_one_partition, managers_under_test)
{
  pass(manager, {147, 120}, seconds{3});
  BOOST_TEST(partitions(manager) == 1U);
}

// Two instances that count different numbers of workers must not divide the cell differently.
BOOST_FIXTURE_TEST_CASE(the_second_instance_uses_the_layout_of_the_first, managers_under_test)
{
  pass(manager, {147, 1100}, seconds{3});
  BOOST_TEST(partitions(manager) == 4U);
  pass(other, {147, 600}, seconds{3});
  BOOST_TEST(partitions(other) == 4U);
}

BOOST_FIXTURE_TEST_CASE(a_layout_whose_reply_was_lost_is_found_again, managers_under_test)
{
  wire.lose_answers = true;
  pass(manager, {147, 1100}, seconds{3});
  BOOST_TEST(partitions(manager) == 0U);
  wire.lose_answers = false;
  pass(manager, {147, 1100}, seconds{2});
  BOOST_TEST(partitions(manager) == 4U);
}

// An instance that is upgraded in a running cell must not divide the cell.
BOOST_FIXTURE_TEST_CASE(a_cell_with_an_owner_and_no_layout_has_one_partition, managers_under_test)
{
  node::owner_row row;
  row.holder = "instance-9";
  manager.take_in({node::owner_key(node::k_whole_cell), node::to_row_text(row), 5});
  BOOST_TEST(partitions(manager) == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_damaged_layout_decides_nothing, managers_under_test)
{
  manager.take_in({node::layout_key(), R"({"partitions": 0})", 5});
  BOOST_TEST(partitions(manager) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
