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

void set_store_isolated(explored_cell& cell, bool isolated)
{
  for (const explored_instance& each : cell.instances())
  {
    const std::pair<std::string, std::string> link{each.name, "store"};
    if (isolated)
      cell.network().troubles.cuts.insert(link);
    else
      cell.network().troubles.cuts.erase(link);
  }
}

void run_for(explored_cell& cell, milliseconds span)
{
  cell.time().run_until(cell.time().now() + span);
}
} // namespace

BOOST_AUTO_TEST_SUITE(OutageTest)

// After 4.5 s without the store an owner could write again while its feed of jobs still waited for
// the reply to a call that it had sent during the outage. It therefore started tasks of jobs whose
// cancellation it had not read (explorer, seed 124408).
BOOST_AUTO_TEST_CASE(feeds_deliver_updates_as_soon_as_the_store_is_back)
{
  for (const milliseconds outage : {milliseconds{1700}, milliseconds{2600}, milliseconds{3400}})
  {
    explored_cell cell(k_seed);
    run_for(cell, seconds{3});
    set_store_isolated(cell, true);
    run_for(cell, outage);
    set_store_isolated(cell, false);
    cell.configure(2);
    // A failing link is tried every half second, whereas a feed's call waits for up to 3.5 s.
    run_for(cell, milliseconds{800});
    for (const explored_instance& each : cell.instances())
      BOOST_TEST(each.metrics->value(common::gauge::config_version) == 2U,
                 each.name << " after " << outage.count() << " ms");
  }
}

// An owner that took over did not know that a worker was about to leave, since the reply that said
// so was lost, and started tasks there (explorer, seed 321883).
BOOST_AUTO_TEST_CASE(a_new_owner_reads_the_worker_entries)
{
  explored_cell cell(k_seed);
  run_for(cell, milliseconds{5050});
  set_store_isolated(cell, true);
  model::fleet_worker& leaving = cell.workers().front();
  leaving.draining = true;
  cell.update_entry(leaving);
  run_for(cell, milliseconds{50});
  set_store_isolated(cell, false);
  for (explored_instance& each : cell.instances())
  {
    if (each.core->owns_any())
    {
      cell.end_instance(each);
      break;
    }
  }
  run_for(cell, milliseconds{1700}); // time to detect the loss, read the rows and renew
  std::uint64_t usable = 0;
  for (const explored_instance& each : cell.instances())
  {
    if (each.up() && each.core->owns_any())
      usable = each.metrics->value(common::gauge::workers_usable);
  }
  BOOST_TEST(usable == cell.workers().size() - 1);
}

// An instance counts as in touch 3 s after the store's last trouble. By then it has to know which
// configuration is in force and which workers are about to leave.
BOOST_AUTO_TEST_CASE(a_lost_feed_reply_delays_updates_by_less_than_three_seconds)
{
  for (const milliseconds begin : {milliseconds{5050}, milliseconds{5400}, milliseconds{5750}})
  {
    explored_cell cell(k_seed);
    run_for(cell, begin);
    set_store_isolated(cell, true);
    cell.configure(2);
    run_for(cell, milliseconds{50});
    set_store_isolated(cell, false);
    run_for(cell, milliseconds{2950});
    for (const explored_instance& each : cell.instances())
      BOOST_TEST(each.metrics->value(common::gauge::config_version) == 2U,
                 each.name << " from " << begin.count() << " ms");
  }
}

BOOST_AUTO_TEST_SUITE_END()
