// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Guards against a transaction that both removes and puts the claim of a worker, which leaves open
// what the store keeps. It comes about when the worker is forgotten and, before that is written,
// its entry returns and the worker answers. Without the claim, a later owner would not know that
// anything may run there.

#include <boost/test/unit_test.hpp>

#include "Scheduling/SchedulerHarness.h"

using namespace yardhill::scheduling;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
struct returning_worker : scheduler_harness
{
  void leave_hold_unanswered()
  {
    hold_answer answer;
    answer.worker = worker_id("w1");
    answer.sent = now;
    scheduler->hold_answered(answer, now);
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(ClaimReturnsTest)

BOOST_FIXTURE_TEST_CASE(a_claim_that_returns_is_written_after_its_removal, returning_worker)
{
  add_worker(worker("w1"));
  scheduler->worker_entry_gone(worker_id("w1"), now);
  step();
  for (int i = 0; i < 2; ++i)
    leave_hold_unanswered();
  pass(seconds{60});
  step(); // forgotten
  scheduler->worker_entry(worker("w1"), now);
  step();
  answer_hold("w1", {}, {}, 0);

  const commit_batch removal = scheduler->take_commit(1000, now);
  BOOST_TEST_REQUIRE(removal.releases.contains(worker_id("w1")));
  BOOST_TEST(!removal.claims.contains(worker_id("w1")));
  scheduler->commit_done(removal, true);
  const commit_batch claim = scheduler->take_commit(1000, now);
  BOOST_TEST(claim.claims.contains(worker_id("w1")));
  BOOST_TEST(claim.releases.empty());
}

BOOST_AUTO_TEST_SUITE_END()
