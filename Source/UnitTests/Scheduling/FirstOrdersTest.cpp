// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "Scheduling/SchedulerHarness.h"

// A successor tells from an owner's row whether that owner can have given orders. So nothing is
// started, and no lease extended, before the owner's first renewal is written.

using namespace yardhill::scheduling;

namespace
{
constexpr const char* k_job = "0123456789abcdef";

struct new_owner : scheduler_harness
{
  new_owner()
  {
    scheduler->suspend_starts();
    add_worker(worker("w1"));
    scheduler->add_job(job(k_job, {step_of(1)}), now);
    step();
    commit();
    step();
  }

  bool extends_a_lease() const
  {
    return std::any_of(holds.begin(), holds.end(),
                       [](const hold_command& each) { return each.lease_end.has_value(); });
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(FirstOrdersTest)

BOOST_FIXTURE_TEST_CASE(nothing_is_ordered_before_the_first_renewal, new_owner)
{
  BOOST_TEST(starts.empty());
  BOOST_TEST(!extends_a_lease());
}

BOOST_FIXTURE_TEST_CASE(orders_begin_with_the_first_renewal, new_owner)
{
  scheduler->allow_starts();
  step();
  commit(); // that the step begins
  step();
  BOOST_TEST(starts.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
