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

BOOST_AUTO_TEST_SUITE_END()
