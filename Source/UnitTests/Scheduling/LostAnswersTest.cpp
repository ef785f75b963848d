// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "Scheduling/SchedulerHarness.h"

using namespace yardhill::scheduling;
using std::chrono::milliseconds;

namespace
{
// A task runs on w1, where a hold waits for news.
struct held_worker : scheduler_harness
{
  held_worker()
  {
    send_first_start();
    step();
    BOOST_TEST_REQUIRE(holds.size() == 1U);
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(LostAnswersTest)

// Thies, trouble-1, 12.4 to 13.9 s: a start's answer was lost, then the answer with its end. Each
// copy of the start was rejected as out of date, and the end was heard 1.6 s later.
BOOST_FIXTURE_TEST_CASE(a_copy_of_a_start_that_is_out_of_date_has_the_lists_asked_for_at_once,
                        held_worker)
{
  answer_start(starts.front(), call_end::unanswered);
  pass(milliseconds{310});
  step();
  BOOST_TEST_REQUIRE(starts.size() == 2U);
  answer_start(starts.back(), call_end::outdated);
  step();
  BOOST_TEST_REQUIRE(holds.size() == 2U);
  BOOST_TEST(holds.back().wait.count() == 0);
  pass(milliseconds{5});
  answer_hold("w1", {}, {ended(1, starts.front(), run_outcome::done)});
  BOOST_TEST((scheduler->state_of(k_job) == yardhill::jobs::job_state::completed));
}

BOOST_FIXTURE_TEST_CASE(an_answer_that_was_overtaken_is_left_out, held_worker)
{
  answer_start(starts.front(), call_end::done);
  const worker_clock_time before = clock();
  pass(milliseconds{50});
  answer_hold("w1", {}, {ended(1, starts.front(), run_outcome::failed)});
  clear();
  hold_answer late;
  late.worker = worker_id("w1");
  late.end = call_end::done;
  late.clock = before;
  late.running = {running({worker_id("w1"), {}, {k_job, {0, 0, 0}}, 1, {}, {}, {}, {}})};
  late.sent = now - milliseconds{60};
  scheduler->hold_answered(late, now);
  step();
  BOOST_TEST_REQUIRE(starts.size() == 1U); // the task is not taken for running
  BOOST_TEST(starts.front().run == 2U);
}

// Each copy of such a start has an end of its own: that the first came too late says nothing of the
// second. The run was dropped and its room given away, and the second copy brought the worker over
// its room.
BOOST_FIXTURE_TEST_CASE(a_copy_that_came_too_late_voids_no_later_one, scheduler_harness)
{
  yardhill::jobs::step_spec copied = step_of(1, 10000);
  copied.speculative = true;
  send_first_start(copied);
  const start_command first = starts.front();
  answer_start(first, call_end::unanswered);
  pass(milliseconds{500});
  starts.clear();
  step();
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  BOOST_TEST(starts.front().lease_end > first.lease_end);
  answer_start(first, call_end::too_late);
  pass(milliseconds{5});
  answer_hold("w1", {});
  starts.clear();
  step();
  BOOST_TEST(starts.empty());
  BOOST_TEST(scheduler->load().free_cpu == 6000);
}

BOOST_AUTO_TEST_SUITE_END()
