// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "Scheduling/SchedulerHarness.h"

using namespace yardhill::scheduling;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
// An owner that has taken over a job with one task from an earlier owner.
struct taken_over : takeover_harness
{
  taken_over()
  {
    scheduler->worker_entry(worker("w1"), now);
    scheduler->worker_entry(worker("w2"), now);
    restore_begun(k_job);
    begin();
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(TakeoverTest)

BOOST_FIXTURE_TEST_CASE(nothing_starts_before_every_worker_is_heard, taken_over)
{
  answer_hold("w1", {});
  step();
  BOOST_TEST(starts.empty());
  answer_hold("w2", {});
  commit_and_step();
  BOOST_TEST(starts.size() == 1U);
  BOOST_TEST(starts.front().run > 1000U);
}

// A run that was found on a worker counted as lost at once, since no lease had been recorded for
// that worker yet, and its task was started a second time on another worker.
BOOST_FIXTURE_TEST_CASE(a_run_found_on_a_worker_goes_on, taken_over)
{
  answer_hold("w1", {earlier_run()});
  answer_hold("w2", {});
  step();
  pass(milliseconds{30});
  step();
  BOOST_TEST(starts.empty());
}

BOOST_FIXTURE_TEST_CASE(an_unheard_worker_is_given_up_once_every_earlier_lease_is_over, taken_over)
{
  answer_hold("w1", {});
  commit();
  pass(seconds{15});
  step();
  BOOST_TEST(starts.empty());
  pass(seconds{2});
  commit_and_step(); // a fresh renewal
  BOOST_TEST(starts.size() == 1U);
}

// An owner that was isolated with its zone gave up an unheard worker at the end of the earlier
// owner's leases and started that worker's tasks again, while its own successor had heard the
// worker (explorer, seed 450787).
BOOST_FIXTURE_TEST_CASE(after_the_earlier_leases_tasks_start_only_with_a_fresh_renewal, taken_over)
{
  answer_hold("w1", {});
  commit();
  pass(seconds{17});
  scheduler->set_authority(now + seconds{1}, now - seconds{3});
  step();
  BOOST_TEST(starts.empty());
  scheduler->set_authority(now + seconds{4}, now);
  step();
  BOOST_TEST(starts.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(an_end_that_an_earlier_owner_did_not_acknowledge_counts, taken_over)
{
  answer_hold("w1", {}, {{1, {k_job, {0, 0, 0}}, earlier_run().run, run_outcome::done, ""}});
  answer_hold("w2", {});
  step();
  BOOST_TEST(starts.empty());
  BOOST_TEST((scheduler->state_of(k_job) == yardhill::jobs::job_state::completed));
}

// While a zone was isolated, the entries of its workers lapsed. A new owner waited only for the
// workers with entries, and tasks that ran on the other workers were started again.
BOOST_FIXTURE_TEST_CASE(a_worker_without_an_entry_is_waited_for_if_earlier_owners_used_it,
                        takeover_harness)
{
  restore_claim("w9", {{"10.0.0.9", 80}, "", false, {}});
  scheduler->worker_entry(worker("w1"), now);
  restore_begun(k_job);
  begin();
  answer_hold("w1", {});
  step();
  commit_and_step();
  BOOST_TEST(starts.empty());
  BOOST_TEST(holds.size() >= 2U);
  answer_hold("w9", {});
  step();
  BOOST_TEST(starts.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(nothing_starts_on_a_worker_before_its_claim_is_written, scheduler_harness)
{
  scheduler->worker_entry(worker("w1"), now);
  step();
  answer_hold("w1", {});
  scheduler->add_job(job(k_job, {step_of(1)}), now);
  step();
  BOOST_TEST(starts.empty());
  commit_and_step(); // writes the claim
  BOOST_TEST(starts.empty());
  commit_and_step(); // writes the step's begin mark
  BOOST_TEST(starts.size() == 1U);
}

// The claim of a single worker that had left kept every task waiting for 12 s.
BOOST_FIXTURE_TEST_CASE(a_closed_claim_holds_back_no_more_than_its_tasks, takeover_harness)
{
  restore_claim("w9", {{"10.0.0.9", 80}, "", true, {{k_job, {0, 0, 0}}}});
  scheduler->worker_entry(worker("w1"), now);
  restore_begun(k_job);
  restore_begun(k_other_job);
  begin();
  answer_hold("w1", {});
  commit_and_step();
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  BOOST_TEST(starts.front().task.job == k_other_job);
  clear();
  pass(seconds{17});
  commit_and_step(); // a fresh renewal
  BOOST_TEST(std::any_of(starts.begin(), starts.end(),
                         [](const start_command& each) { return each.task.job == k_job; }));
}

BOOST_FIXTURE_TEST_CASE(a_step_that_has_not_begun_waits_for_no_worker, takeover_harness)
{
  scheduler->worker_entry(worker("w1"), now);
  scheduler->worker_entry(worker("w2"), now);
  scheduler->restore_job(job(k_job, {step_of(1)}), std::nullopt, now);
  begin();
  answer_hold("w1", {});
  commit_and_step();
  commit_and_step();
  BOOST_TEST(starts.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(nothing_starts_before_it_is_written_that_the_step_has_begun,
                        scheduler_harness)
{
  add_worker(worker("w1"));
  scheduler->add_job(job(k_job, {step_of(1)}), now);
  step();
  BOOST_TEST(starts.empty());
  commit_and_step();
  BOOST_TEST(starts.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_silent_worker_gets_a_closed_claim_and_no_starts_until_it_is_open_again,
                        scheduler_harness)
{
  send_first_start();
  answer_start(starts.front(), call_end::unanswered);
  pass(milliseconds{310});
  step();
  BOOST_TEST_REQUIRE(starts.size() == 2U); // the same start again
  BOOST_TEST(starts.back().run == starts.front().run);
  answer_start(starts.back(), call_end::unanswered);
  pass(seconds{1});
  const commit_batch closing = scheduler->take_commit(1000, now);
  BOOST_TEST_REQUIRE(closing.claims.contains(worker_id("w1")));
  BOOST_TEST(closing.claims.at(worker_id("w1")).closed);
  BOOST_TEST(closing.claims.at(worker_id("w1")).tasks.size() == 1U);
  scheduler->commit_done(closing, true);
  scheduler->add_job(job(k_other_job, {step_of(1)}), now);
  answer_hold("w1", {running(starts.front())});
  clear();
  step();
  BOOST_TEST(starts.empty());
  commit_and_step(); // writes the open claim
  commit_and_step(); // writes the begin mark of the second job's step
  BOOST_TEST(starts.size() == 1U);
}

// An owner that was isolated with its zone gave up a run on a silent worker and started the task
// again, while its successor had heard that worker and acknowledged the run's end
// (explorer, seed 266).
BOOST_FIXTURE_TEST_CASE(a_task_given_up_unheard_starts_again_only_with_a_fresh_renewal,
                        scheduler_harness)
{
  send_first_start();
  add_worker(worker("w2"));
  clear();
  pass(seconds{9}); // beyond the lease
  step();
  BOOST_TEST(starts.empty());
  commit_and_step();
  BOOST_TEST(starts.size() == 1U);
}

// A new owner whose feed of worker entries lagged behind received the entry of a worker's earlier
// incarnation after it had asked the present one. It assumed that the present one was gone and
// started its tasks elsewhere (explorer, seed 1736).
BOOST_FIXTURE_TEST_CASE(the_entry_of_an_earlier_incarnation_does_not_end_a_later_one,
                        takeover_harness)
{
  restore_claim("life-2", {{"10.0.0.9", 80}, "", false, {}});
  restore_begun(k_job);
  begin();
  answer_hold("life-2", {earlier_run()});
  add_worker(worker("w1"));
  worker_info earlier = worker("life-1");
  earlier.address = {"10.0.0.9", 80};
  scheduler->worker_entry(earlier, now);
  step();
  commit_and_step();
  BOOST_TEST(starts.empty());
}

// A worker was restarted while its zone was isolated. The last entry of the earlier incarnation was
// written when the isolation ended, after the first entry of the incarnation that now had its
// address. The owner assumed that the later incarnation was gone and started its tasks a second
// time elsewhere.
BOOST_FIXTURE_TEST_CASE(the_entry_of_another_incarnation_at_its_address_ends_no_worker,
                        scheduler_harness)
{
  add_worker(worker("life-2"));
  start_job(k_job, step_of(1));
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  add_worker(worker("w1"));
  worker_info other = worker("life-1");
  other.address = worker("life-2").address;
  scheduler->worker_entry(other, now);
  step();
  commit_and_step();
  BOOST_TEST(starts.size() == 1U);
}

// Only the answer to a call shows which of two incarnations is at an address, so a hold that does
// not wait for updates is sent.
BOOST_FIXTURE_TEST_CASE(a_worker_whose_address_another_incarnation_names_is_asked_at_once,
                        scheduler_harness)
{
  worker_info first = worker("life-1");
  add_worker(first);
  start_job(k_job, step_of(1));
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  worker_info second = worker("life-2");
  second.address = first.address;
  holds.clear();
  scheduler->worker_entry(second, now);
  step();
  BOOST_TEST_REQUIRE(std::any_of(holds.begin(), holds.end(),
                                 [](const hold_command& each) {
                                   return each.worker.value == "life-1" && each.wait.count() == 0;
                                 }));
  answer_hold("life-2", {});
  commit_and_step();
  BOOST_TEST(starts.size() == 1U);
  fail_hold("life-1", call_end::other_incarnation);
  step();
  commit_and_step(); // writes the announcement that the run after a crash needs
  BOOST_TEST_REQUIRE(starts.size() == 2U);
  BOOST_TEST(starts.back().worker.value == "life-2");
}

// A start, a stop or a hold may find that another incarnation has the worker's address.
BOOST_FIXTURE_TEST_CASE(
    a_start_that_another_incarnation_rejects_ends_the_earlier_one_with_its_claim, scheduler_harness)
{
  send_first_start();
  answer_start(starts.front(), call_end::other_incarnation);
  fail_hold("w1", call_end::unanswered);
  step();
  BOOST_TEST(scheduler->take_commit(1000, now).releases.contains(worker_id("w1")));
}

BOOST_AUTO_TEST_SUITE_END()
