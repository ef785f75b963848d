// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>

#include "Scheduling/SchedulerHarness.h"

using namespace yardhill::scheduling;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
struct known_worker : scheduler_harness
{
  known_worker() { add_worker(worker("w1")); }

  void lose_entry()
  {
    clear();
    scheduler->worker_entry_gone(worker_id("w1"), now);
    step();
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(LostEntryTest)

// Guards against leaving workers unused that answer but have no entry (site Periyar, scale-2). The
// entries of a zone's workers had lapsed while the zone was isolated, and returned 2 s after its
// connection; until then nothing was started on these workers.
BOOST_FIXTURE_TEST_CASE(a_worker_that_answers_is_used_without_its_entry, known_worker)
{
  lose_entry();
  BOOST_TEST_REQUIRE(holds.size() == 1U);
  BOOST_TEST(holds.front().wait.count() == 0);
  answer_hold("w1", {});
  start_job(k_job, step_of(1));
  BOOST_TEST(starts.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_worker_that_is_silent_without_its_entry_is_not_used, known_worker)
{
  lose_entry();
  start_job(k_job, step_of(1));
  BOOST_TEST(starts.empty());
  fail_hold("w1", call_end::unanswered);
  step();
  BOOST_TEST(starts.empty());
}

BOOST_FIXTURE_TEST_CASE(a_worker_that_is_heard_again_is_used_before_its_entry_is_back, known_worker)
{
  lose_entry();
  fail_hold("w1", call_end::unanswered);
  for (int i = 0; i < 5; ++i)
  {
    pass(seconds{1});
    step();
    fail_hold("w1", call_end::unanswered);
  }
  answer_hold("w1", {});
  step();
  commit(); // opens the worker's claim, which had been closed while it was silent
  start_job(k_job, step_of(1));
  BOOST_TEST(starts.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_leaving_worker_is_not_used_without_its_entry, known_worker)
{
  worker_info leaving = worker("w1");
  leaving.draining = true;
  scheduler->worker_entry(leaving, now);
  lose_entry();
  answer_hold("w1", {});
  start_job(k_job, step_of(1));
  BOOST_TEST(starts.empty());
}

BOOST_AUTO_TEST_SUITE_END()
