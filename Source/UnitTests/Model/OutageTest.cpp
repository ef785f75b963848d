// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>

#include "Model/ExploredCell.h"

using namespace yardhill;
using model::explored_cell;
using model::explored_instance;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr std::uint64_t k_seed = 1;

void cut_store(explored_cell& cell, bool cut)
{
  for (const explored_instance& each : cell.instances())
  {
    const std::pair<std::string, std::string> way{each.name, "store"};
    if (cut)
      cell.network().troubles.cuts.insert(way);
    else
      cell.network().troubles.cuts.erase(way);
  }
}

void run_for(explored_cell& cell, milliseconds span)
{
  cell.time().run_until(cell.time().now() + span);
}
} // namespace

BOOST_AUTO_TEST_SUITE(OutageTest)

// Explorer, seed 124408: after 4.5 s without the store an owner could write again, while its feed
// of jobs still waited for the answer to a call from the time without; so it started tasks of jobs
// whose cancellation it had not heard of.
BOOST_AUTO_TEST_CASE(feeds_hear_what_is_new_as_soon_as_the_store_is_back)
{
  for (const milliseconds away : {milliseconds{1700}, milliseconds{2600}, milliseconds{3400}})
  {
    explored_cell cell(k_seed);
    run_for(cell, seconds{3});
    cut_store(cell, true);
    run_for(cell, away);
    cut_store(cell, false);
    cell.configure(2);
    // A bad way is tried every half second; a feed's call waits for up to 3.5 s.
    run_for(cell, milliseconds{800});
    for (const explored_instance& each : cell.instances())
      BOOST_TEST(each.metrics->value(common::gauge::config_version) == 2U,
                 each.name << " after " << away.count() << " ms");
  }
}

// Explorer, seed 321883: an owner that took over did not know that a worker was about to leave,
// since the answer that said so was lost, and started tasks there.
BOOST_AUTO_TEST_CASE(a_new_owner_asks_which_workers_there_are)
{
  explored_cell cell(k_seed);
  run_for(cell, milliseconds{5050});
  cut_store(cell, true);
  model::fleet_worker& leaving = cell.workers().front();
  leaving.draining = true;
  cell.update_entry(leaving);
  run_for(cell, milliseconds{50});
  cut_store(cell, false);
  for (explored_instance& each : cell.instances())
  {
    if (each.core->owns_any())
    {
      cell.end_instance(each);
      break;
    }
  }
  run_for(cell, milliseconds{1700}); // silence, reading, the next renewal
  std::uint64_t usable = 0;
  for (const explored_instance& each : cell.instances())
  {
    if (each.up() && each.core->owns_any())
      usable = each.metrics->value(common::gauge::workers_usable);
  }
  BOOST_TEST(usable == cell.workers().size() - 1);
}

// A machine counts as in touch 3 s after the store's last trouble, and has to know then which
// configuration is in force and which workers are about to leave.
BOOST_AUTO_TEST_CASE(a_lost_answer_of_a_feed_costs_less_than_three_seconds)
{
  for (const milliseconds begin : {milliseconds{5050}, milliseconds{5400}, milliseconds{5750}})
  {
    explored_cell cell(k_seed);
    run_for(cell, begin);
    cut_store(cell, true);
    cell.configure(2);
    run_for(cell, milliseconds{50});
    cut_store(cell, false);
    run_for(cell, milliseconds{2950});
    for (const explored_instance& each : cell.instances())
      BOOST_TEST(each.metrics->value(common::gauge::config_version) == 2U,
                 each.name << " from " << begin.count() << " ms");
  }
}

BOOST_AUTO_TEST_SUITE_END()
