// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>

#include "Scheduling/SchedulerHarness.h"

using namespace yardhill::scheduling;
using std::chrono::milliseconds;

namespace
{
// Two tasks run on w1. The copy of the first one's start was lost, and so its end is not
// acknowledged for a while.
struct two_runs : scheduler_harness
{
  start_command first;
  start_command second;

  two_runs()
  {
    add_worker(worker("w1"));
    start_job(k_job, step_of(2));
    BOOST_TEST_REQUIRE(starts.size() == 2U);
    first = starts[0];
    second = starts[1];
    answer_start(first, call_end::unanswered);
    answer_start(second, call_end::done);
    pass(milliseconds{500});
    starts.clear();
    step();
    BOOST_TEST_REQUIRE(starts.size() == 1U);
    answer_start(starts.front(), call_end::done);
    pass(milliseconds{50});
    clear();
  }

  // The highest end that any hold has acknowledged since the last call of clear.
  end_number acknowledged() const
  {
    end_number highest = 0;
    for (const hold_command& each : holds)
      highest = std::max(highest, each.acknowledged);
    return highest;
  }

  void write_and_hold()
  {
    commit_and_step();
    pass(milliseconds{200});
    step();
  }
};

// An owner that takes over a task which ended on w1 under the earlier owner.
struct taken_over_with_ends : takeover_harness
{
  taken_over_with_ends()
  {
    scheduler->worker_entry(worker("w1"), now);
    restore_begun(k_job);
    begin();
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(CutOffListsTest)

// Guards against starting tasks twice that have ended as done: a run is taken for missing because
// its end does not fit into the worker's list of ends.
BOOST_FIXTURE_TEST_CASE(a_run_absent_from_a_cut_off_list_is_not_started_again, two_runs)
{
  answer_hold_cut_off("w1", {}, {ended(1, first, run_outcome::done)});
  write_and_hold();
  BOOST_TEST(starts.empty());
  answer_hold("w1", {}, {ended(2, second, run_outcome::done)}, 1);
  step();
  BOOST_TEST(starts.empty());
  BOOST_TEST((scheduler->state_of(k_job) == yardhill::jobs::job_state::completed));
}

BOOST_FIXTURE_TEST_CASE(a_run_absent_from_a_complete_list_is_started_again, two_runs)
{
  answer_hold("w1", {}, {ended(1, first, run_outcome::done)});
  write_and_hold();
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  BOOST_TEST((starts.front().task == second.task));
}

// Guards against jobs that stand still for the whole late start window although their tasks have
// ended: the worker lists no further ends before the kept one is acknowledged.
BOOST_FIXTURE_TEST_CASE(a_kept_end_is_acknowledged_if_it_hides_later_ones, two_runs)
{
  answer_hold_cut_off("w1", {}, {ended(1, first, run_outcome::done)});
  write_and_hold();
  BOOST_TEST(acknowledged() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_kept_end_that_hides_nothing_stays_unacknowledged, two_runs)
{
  answer_hold_cut_off("w1", {running(second)}, {ended(1, first, run_outcome::done)});
  write_and_hold();
  BOOST_TEST(!holds.empty());
  BOOST_TEST(acknowledged() == 0U);
}

// Guards against starting a task twice after a takeover: its end is beyond those that the worker
// lists in its first answer to the new owner.
BOOST_FIXTURE_TEST_CASE(a_new_owner_waits_for_the_ends_that_a_cut_off_list_leaves_out,
                        taken_over_with_ends)
{
  answer_hold_cut_off("w1", {}, {});
  commit_and_step();
  commit_and_step();
  BOOST_TEST(starts.empty());
  answer_hold("w1", {}, {{1, {k_job, {0, 0, 0}}, earlier_run().run, run_outcome::done, ""}});
  commit_and_step();
  BOOST_TEST(starts.empty());
  BOOST_TEST((scheduler->state_of(k_job) == yardhill::jobs::job_state::completed));
}

BOOST_AUTO_TEST_SUITE_END()
