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
// An instance that looks at its cell every 25 ms.
struct keeping
{
  model::virtual_time time;
  common::metrics metrics;
  node::store_wire wire{time};
  adapter::store_client store{wire, metrics, nullptr};
  node::layout_manager keeper{time, store, 0};
  node::layout_manager other{time, store, 0};

  keeping()
  {
    keeper.rows_read();
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

BOOST_FIXTURE_TEST_CASE(few_instances_make_one_partition_whatever_the_workers, keeping)
{
  pass(keeper, {7, 1000}, milliseconds{500});
  BOOST_TEST(partitions(keeper) == 0U); // others may not have been found yet
  pass(keeper, {7, 1000}, seconds{1});
  BOOST_TEST(partitions(keeper) == 1U);
}

// Workers that announce themselves over some seconds were taken for all that there are.
BOOST_FIXTURE_TEST_CASE(workers_are_counted_once_their_number_has_settled, keeping)
{
  for (std::size_t workers = 0; workers <= 1100; workers += 110)
    pass(keeper, {147, workers}, milliseconds{400});
  BOOST_TEST(keeper.needs_worker_count());
  BOOST_TEST(partitions(keeper) == 0U);
  pass(keeper, {147, 1100}, seconds{2});
  BOOST_TEST(partitions(keeper) == 4U);
  BOOST_TEST(!keeper.needs_worker_count());
}

BOOST_FIXTURE_TEST_CASE(many_instances_with_few_workers_make_one_partition, keeping)
{
  pass(keeper, {147, 120}, seconds{3});
  BOOST_TEST(partitions(keeper) == 1U);
}

// Two instances that count differently must not divide the cell differently.
BOOST_FIXTURE_TEST_CASE(whoever_comes_second_takes_the_first_ones_layout, keeping)
{
  pass(keeper, {147, 1100}, seconds{3});
  BOOST_TEST(partitions(keeper) == 4U);
  pass(other, {147, 600}, seconds{3});
  BOOST_TEST(partitions(other) == 4U);
}

BOOST_FIXTURE_TEST_CASE(a_layout_whose_answer_was_lost_is_met_again, keeping)
{
  wire.lose_answers = true;
  pass(keeper, {147, 1100}, seconds{3});
  BOOST_TEST(partitions(keeper) == 0U);
  wire.lose_answers = false;
  pass(keeper, {147, 1100}, seconds{2});
  BOOST_TEST(partitions(keeper) == 4U);
}

// An instance that is updated in a running cell must not divide it.
BOOST_FIXTURE_TEST_CASE(a_cell_with_an_owner_and_no_layout_has_one_partition, keeping)
{
  node::owner_row row;
  row.holder = "instance-9";
  keeper.take_in({node::owner_key(node::k_whole_cell), node::to_row_text(row), 5});
  BOOST_TEST(partitions(keeper) == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_damaged_layout_decides_nothing, keeping)
{
  keeper.take_in({node::layout_key(), R"({"partitions": 0})", 5});
  BOOST_TEST(partitions(keeper) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
