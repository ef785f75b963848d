// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>

#include "Node/LoopMonitor.h"

using namespace yardhill;
using common::duration;
using std::chrono::milliseconds;

namespace
{
// A loop that should tick every 25 ms.
struct monitored_loop
{
  node::loop_monitor monitor;
  common::time_point now{std::chrono::seconds{100}};

  void tick(milliseconds late)
  {
    const common::time_point due = now + milliseconds{25};
    now = due + late;
    monitor.record_tick(due, now);
  }

  void on_time(int ticks)
  {
    for (int i = 0; i < ticks; ++i)
      tick(milliseconds{0});
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(LoopMonitorTest)

BOOST_FIXTURE_TEST_CASE(a_loop_that_has_not_ticked_is_not_late, monitored_loop)
{
  BOOST_TEST((monitor.lateness() == duration{0}));
  BOOST_TEST((monitor.latest() == duration{0}));
}

BOOST_FIXTURE_TEST_CASE(a_tick_before_its_time_is_not_late, monitored_loop)
{
  monitor.record_tick(now, now - milliseconds{5});
  BOOST_TEST((monitor.lateness() == duration{0}));
}

BOOST_FIXTURE_TEST_CASE(a_late_tick_counts_for_a_second, monitored_loop)
{
  on_time(10);
  tick(milliseconds{300});
  BOOST_TEST((monitor.lateness() == milliseconds{300}));
  on_time(40);
  BOOST_TEST((monitor.lateness() == milliseconds{300}));
  BOOST_TEST((monitor.latest() == duration{0}));
  on_time(1);
  BOOST_TEST((monitor.lateness() == duration{0}));
}

BOOST_FIXTURE_TEST_CASE(a_smaller_lateness_shows_once_a_greater_one_is_past, monitored_loop)
{
  tick(milliseconds{300});
  on_time(20);
  tick(milliseconds{80});
  on_time(10);
  BOOST_TEST((monitor.lateness() == milliseconds{300}));
  on_time(15);
  BOOST_TEST((monitor.lateness() == milliseconds{80}));
}

// After a suspension all ticks before it are outside the window.
BOOST_FIXTURE_TEST_CASE(one_tick_later_than_the_window_counts, monitored_loop)
{
  tick(milliseconds{4000});
  BOOST_TEST((monitor.lateness() == milliseconds{4000}));
  tick(milliseconds{1500});
  BOOST_TEST((monitor.lateness() == milliseconds{1500}));
}

BOOST_FIXTURE_TEST_CASE(the_worst_lateness_is_returned_once, monitored_loop)
{
  tick(milliseconds{300});
  tick(milliseconds{80});
  on_time(100);
  BOOST_TEST((monitor.take_worst() == milliseconds{300}));
  BOOST_TEST((monitor.take_worst() == duration{0}));
}

BOOST_AUTO_TEST_SUITE_END()
