// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Measures in virtual time how long the takeover of a partition takes.

#include <boost/test/unit_test.hpp>

#include "Replay/BuiltInCell.h"
#include "Replay/VirtualCell.h"

using namespace yardhill::replay;

namespace
{
trace_action action_at(std::chrono::milliseconds at, action_kind kind, const std::string& who)
{
  trace_action action;
  action.at = time_point{at};
  action.kind = kind;
  action.who = who;
  return action;
}

// The time from the end of the owner to the start of a preview submitted 10 ms after that.
duration time_to_start(action_kind how_it_ends)
{
  trace recorded;
  recorded.header.instances = 3;
  recorded.header.until = std::chrono::seconds{30};
  const std::chrono::milliseconds end{10250};
  recorded.actions.push_back(action_at(end, how_it_ends, "a-1"));
  for (const char* other : {"a-2", "a-3"})
  {
    trace_action submit =
        action_at(end + std::chrono::milliseconds{10}, action_kind::submit, other);
    submit.workload = "preview";
    submit.key = std::string("after-") + other;
    submit.number = 1000;
    recorded.actions.push_back(submit);
  }
  virtual_cell cell(recorded, built_in_document(recorded.header, 2), cell_options{});
  cell.run();
  const task_id task = make_task_id(workload_id{"preview"}, "after-a-2");
  return cell.checker().first_start_of(task) - time_point{end};
}
} // namespace

BOOST_AUTO_TEST_SUITE(takeover)

// a-1 owns the zone's partition: all three instances start together and a-1 ranks first.
BOOST_AUTO_TEST_CASE(a_killed_owner_is_replaced_within_the_time_for_urgent_work)
{
  BOOST_TEST(time_to_start(action_kind::kill).count() < 2'000'000);
}

BOOST_AUTO_TEST_CASE(a_paused_owner_is_replaced_when_its_heartbeats_are_missed)
{
  BOOST_TEST(time_to_start(action_kind::pause).count() < 3'500'000);
}

BOOST_AUTO_TEST_CASE(a_planned_stop_is_handed_over_at_once)
{
  BOOST_TEST(time_to_start(action_kind::stop).count() < 200'000);
}

BOOST_AUTO_TEST_SUITE_END()
