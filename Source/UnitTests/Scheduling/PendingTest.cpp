// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>

#include "Scheduling/SchedulerHarness.h"

using namespace yardhill::scheduling;
using std::chrono::milliseconds;

namespace
{
struct started_job : scheduler_harness
{
  started_job() { send_first_start(); }

  std::uint64_t pending()
  {
    const auto counts = scheduler->load().pending;
    return counts.empty() ? 0 : counts.begin()->second;
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(PendingTest)

// Thies, trouble-2 with seed 11, 39.2 s: four jobs whose starts had been sent into a zone that was
// cut off counted as begun; 0 were said to wait.
BOOST_FIXTURE_TEST_CASE(a_job_waits_until_a_start_of_it_is_answered, started_job)
{
  BOOST_TEST(pending() == 1U);
  answer_start(starts.front(), call_end::unanswered);
  BOOST_TEST(pending() == 1U);
  answer_start(starts.front(), call_end::done);
  BOOST_TEST(pending() == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_listed_run_shows_that_a_job_has_begun, started_job)
{
  answer_hold("w1", {running(starts.front())});
  BOOST_TEST(pending() == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_listed_end_shows_that_a_job_has_begun, started_job)
{
  answer_hold("w1", {}, {ended(1, starts.front(), run_outcome::failed)});
  BOOST_TEST(pending() == 0U);
}

BOOST_AUTO_TEST_CASE(after_a_takeover_a_job_waits_until_something_of_it_is_heard)
{
  scheduler_harness owner(1000);
  yardhill::jobs::job_progress progress = takeover_harness::begun();
  owner.scheduler->restore_job(owner.job(owner.k_job, {owner.step_of(2)}), progress, owner.now);
  progress.done = {{{true, false}}};
  owner.scheduler->restore_job(owner.job(owner.k_other_job, {owner.step_of(2)}), progress,
                               owner.now);
  BOOST_TEST(owner.scheduler->load().pending.begin()->second == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
