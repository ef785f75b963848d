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
// Progress of a job whose first step has begun.
yardhill::jobs::job_progress begun()
{
  yardhill::jobs::job_progress progress;
  progress.state = yardhill::jobs::job_state::active;
  progress.begun[{0, 0, 0}] = "";
  return progress;
}

// An owner that has taken over a job of one task from an earlier one.
struct taken_over : scheduler_harness
{
  taken_over() : scheduler_harness(1000)
  {
    scheduler->set_earlier_end(now + seconds{16});
    scheduler->worker_entry(worker("w1"), now);
    scheduler->worker_entry(worker("w2"), now);
    scheduler->restore_job(job("0123456789abcdef", {step_of(1)}), begun(), now);
    scheduler->begin_accounting();
    step();
  }

  listed_run earlier_run() const
  {
    listed_run run;
    run.task = {"0123456789abcdef", {0, 0, 0}};
    run.run = 7;
    return run;
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
  commit();
  step();
  BOOST_TEST(starts.size() == 1U);
  BOOST_TEST(starts.front().run > 1000U);
}

// Thies, trouble-1, 20.478 s: a run that was found on a worker counted as lost at once, since no
// lease had been counted there yet, and was started a second time elsewhere.
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
  commit(); // a fresh word of the store
  step();
  BOOST_TEST(starts.size() == 1U);
}

// Explorer, seed 450787: an owner cut off with its zone gave up an unheard worker at the end of the
// earlier owner's leases and started the tasks again, while its successor had heard that worker.
BOOST_FIXTURE_TEST_CASE(after_the_earlier_leases_tasks_start_only_by_a_fresh_word_of_the_store,
                        taken_over)
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
  answer_hold("w1", {}, {{1, {"0123456789abcdef", {0, 0, 0}}, 7, run_end::done, ""}});
  answer_hold("w2", {});
  step();
  BOOST_TEST(starts.empty());
  BOOST_TEST((scheduler->state_of("0123456789abcdef") == yardhill::jobs::job_state::completed));
}

// Periyar, trouble-3, 38.983 s: while a zone was cut off its workers' entries lapsed, a new owner
// counted only the workers with entries, and what ran on the others was started again.
BOOST_AUTO_TEST_CASE(a_worker_without_an_entry_is_waited_for_if_earlier_owners_used_it)
{
  scheduler_harness owner(1000);
  owner.scheduler->set_earlier_end(owner.now + seconds{16});
  owner.scheduler->restore_claim(worker_id("w9"), {{"10.0.0.9", 80}, "", false, {}}, owner.now);
  owner.scheduler->worker_entry(scheduler_harness::worker("w1"), owner.now);
  owner.scheduler->restore_job(
      scheduler_harness::job("0123456789abcdef", {scheduler_harness::step_of(1)}), begun(),
      owner.now);
  owner.scheduler->begin_accounting();
  owner.step();
  owner.answer_hold("w1", {});
  owner.step();
  owner.commit();
  owner.step();
  BOOST_TEST(owner.starts.empty());
  BOOST_TEST(owner.holds.size() >= 2U);
  owner.answer_hold("w9", {});
  owner.step();
  BOOST_TEST(owner.starts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(nothing_starts_on_a_worker_before_its_claim_is_written)
{
  scheduler_harness owner;
  owner.scheduler->worker_entry(scheduler_harness::worker("w1"), owner.now);
  owner.step();
  owner.answer_hold("w1", {});
  owner.scheduler->add_job(
      scheduler_harness::job("0123456789abcdef", {scheduler_harness::step_of(1)}), owner.now);
  owner.step();
  BOOST_TEST(owner.starts.empty());
  owner.commit(); // the claim
  owner.step();
  BOOST_TEST(owner.starts.empty());
  owner.commit(); // that the step has begun
  owner.step();
  BOOST_TEST(owner.starts.size() == 1U);
}

// Periyar, scale-2, 29.5 s: the claim of one worker that had left kept every task waiting for 12 s.
BOOST_FIXTURE_TEST_CASE(a_closed_claim_holds_back_no_more_than_its_tasks, taken_over)
{
  scheduler_harness owner(1000);
  owner.scheduler->set_earlier_end(owner.now + seconds{16});
  const std::string listed = "0123456789abcdef";
  const std::string other = "0123456789abcde0";
  owner.scheduler->restore_claim(worker_id("w9"),
                                 {{"10.0.0.9", 80}, "", true, {{listed, {0, 0, 0}}}}, owner.now);
  owner.scheduler->worker_entry(worker("w1"), owner.now);
  owner.scheduler->restore_job(job(listed, {step_of(1)}), begun(), owner.now);
  owner.scheduler->restore_job(job(other, {step_of(1)}), begun(), owner.now);
  owner.scheduler->begin_accounting();
  owner.step();
  owner.answer_hold("w1", {});
  owner.commit();
  owner.step();
  BOOST_TEST_REQUIRE(owner.starts.size() == 1U);
  BOOST_TEST(owner.starts.front().task.job == other);
  owner.clear();
  owner.pass(seconds{17});
  owner.commit(); // a fresh word of the store
  owner.step();
  BOOST_TEST(std::any_of(owner.starts.begin(), owner.starts.end(),
                         [&listed](const start_command& each) { return each.task.job == listed; }));
}

BOOST_AUTO_TEST_CASE(a_step_that_has_not_begun_waits_for_no_worker)
{
  scheduler_harness owner(1000);
  owner.scheduler->set_earlier_end(owner.now + seconds{16});
  owner.scheduler->worker_entry(scheduler_harness::worker("w1"), owner.now);
  owner.scheduler->worker_entry(scheduler_harness::worker("w2"), owner.now);
  owner.scheduler->restore_job(
      scheduler_harness::job("0123456789abcdef", {scheduler_harness::step_of(1)}), std::nullopt,
      owner.now);
  owner.scheduler->begin_accounting();
  owner.step();
  owner.answer_hold("w1", {});
  owner.commit();
  owner.step();
  owner.commit();
  owner.step();
  BOOST_TEST(owner.starts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(nothing_starts_before_it_is_written_that_the_step_has_begun)
{
  scheduler_harness owner;
  owner.add_worker(scheduler_harness::worker("w1"));
  owner.scheduler->add_job(
      scheduler_harness::job("0123456789abcdef", {scheduler_harness::step_of(1)}), owner.now);
  owner.step();
  BOOST_TEST(owner.starts.empty());
  owner.commit();
  owner.step();
  BOOST_TEST(owner.starts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_silent_worker_gets_a_closed_claim_and_no_starts_until_it_is_open_again)
{
  scheduler_harness owner;
  owner.add_worker(scheduler_harness::worker("w1"));
  owner.start_job("0123456789abcdef", scheduler_harness::step_of(1));
  BOOST_TEST_REQUIRE(owner.starts.size() == 1U);
  owner.answer_start(owner.starts.front(), call_end::unanswered);
  owner.pass(milliseconds{310});
  owner.step();
  BOOST_TEST_REQUIRE(owner.starts.size() == 2U); // the same one again
  BOOST_TEST(owner.starts.back().run == owner.starts.front().run);
  owner.answer_start(owner.starts.back(), call_end::unanswered);
  owner.pass(seconds{1});
  const commit_batch closing = owner.scheduler->take_commit(1000, owner.now);
  BOOST_TEST_REQUIRE(closing.claims.contains(worker_id("w1")));
  BOOST_TEST(closing.claims.at(worker_id("w1")).closed);
  BOOST_TEST(closing.claims.at(worker_id("w1")).tasks.size() == 1U);
  owner.scheduler->commit_done(closing, true);
  owner.scheduler->add_job(
      scheduler_harness::job("0123456789abcde0", {scheduler_harness::step_of(1)}), owner.now);
  owner.answer_hold("w1", {scheduler_harness::running(owner.starts.front())});
  owner.clear();
  owner.step();
  BOOST_TEST(owner.starts.empty());
  owner.commit(); // the open claim
  owner.step();
  owner.commit(); // that the second job's step has begun
  owner.step();
  BOOST_TEST(owner.starts.size() == 1U);
}

// Explorer, seed 266: an owner cut off with its zone gave up a run on a silent worker and started
// the task again, while its successor had heard that worker and acknowledged the end.
BOOST_AUTO_TEST_CASE(a_task_given_up_unheard_starts_again_only_by_a_fresh_word_of_the_store)
{
  scheduler_harness owner;
  owner.add_worker(scheduler_harness::worker("w1"));
  owner.start_job("0123456789abcdef", scheduler_harness::step_of(1));
  BOOST_TEST_REQUIRE(owner.starts.size() == 1U);
  owner.add_worker(scheduler_harness::worker("w2"));
  owner.clear();
  owner.pass(seconds{9}); // beyond the lease
  owner.step();
  BOOST_TEST(owner.starts.empty());
  owner.commit();
  owner.step();
  BOOST_TEST(owner.starts.size() == 1U);
}

// Explorer, seed 1736: a new owner whose feed of workers was behind heard of a worker's earlier
// life after it had asked the present one, took that for gone, and started its tasks elsewhere.
BOOST_AUTO_TEST_CASE(the_entry_of_an_earlier_life_does_not_end_a_later_one)
{
  scheduler_harness owner(1000);
  owner.scheduler->set_earlier_end(owner.now + seconds{16});
  owner.scheduler->restore_claim(worker_id("life-2"), {{"10.0.0.9", 80}, "", false, {}}, owner.now);
  owner.scheduler->restore_job(
      scheduler_harness::job("0123456789abcdef", {scheduler_harness::step_of(1)}), begun(),
      owner.now);
  owner.scheduler->begin_accounting();
  owner.step();
  listed_run run;
  run.task = {"0123456789abcdef", {0, 0, 0}};
  run.run = 7;
  owner.answer_hold("life-2", {run});
  owner.add_worker(scheduler_harness::worker("w1"));
  worker_info earlier = scheduler_harness::worker("life-1");
  earlier.address = {"10.0.0.9", 80};
  owner.scheduler->worker_entry(earlier, owner.now);
  owner.step();
  owner.commit();
  owner.step();
  BOOST_TEST(owner.starts.empty());
}

// Workers that were restarted behind a cut: the earlier life's last entry was written when the cut
// healed, after the first one of the life that had its address. The owner took the later life for
// gone and started its tasks elsewhere as well.
BOOST_AUTO_TEST_CASE(the_entry_of_another_life_at_its_address_ends_no_worker)
{
  scheduler_harness owner;
  owner.add_worker(scheduler_harness::worker("life-2"));
  owner.start_job("0123456789abcdef", scheduler_harness::step_of(1));
  BOOST_TEST_REQUIRE(owner.starts.size() == 1U);
  owner.add_worker(scheduler_harness::worker("w1"));
  worker_info other = scheduler_harness::worker("life-1");
  other.address = scheduler_harness::worker("life-2").address;
  owner.scheduler->worker_entry(other, owner.now);
  owner.step();
  owner.commit();
  owner.step();
  BOOST_TEST(owner.starts.size() == 1U);
}

// Which of the two is there is told by the answer to a call, for which nothing is waited.
BOOST_AUTO_TEST_CASE(a_worker_whose_address_another_life_names_is_asked_at_once)
{
  scheduler_harness owner;
  worker_info first = scheduler_harness::worker("life-1");
  owner.add_worker(first);
  owner.start_job("0123456789abcdef", scheduler_harness::step_of(1));
  BOOST_TEST_REQUIRE(owner.starts.size() == 1U);
  worker_info second = scheduler_harness::worker("life-2");
  second.address = first.address;
  owner.holds.clear();
  owner.scheduler->worker_entry(second, owner.now);
  owner.step();
  BOOST_TEST_REQUIRE(std::any_of(owner.holds.begin(), owner.holds.end(),
                                 [](const hold_command& each) {
                                   return each.worker.value == "life-1" && each.wait.count() == 0;
                                 }));
  owner.answer_hold("life-2", {});
  owner.commit();
  owner.step();
  BOOST_TEST(owner.starts.size() == 1U);
  hold_answer gone;
  gone.worker = worker_id("life-1");
  gone.end = call_end::other_life;
  owner.scheduler->hold_answered(gone, owner.now);
  owner.step();
  BOOST_TEST_REQUIRE(owner.starts.size() == 2U);
  BOOST_TEST(owner.starts.back().worker.value == "life-2");
}

// A start, a stop and a hold alike may find that another life has the worker's address.
BOOST_AUTO_TEST_CASE(a_start_that_another_life_rejects_ends_the_earlier_one_with_its_claim)
{
  scheduler_harness owner;
  owner.add_worker(scheduler_harness::worker("w1"));
  owner.start_job("0123456789abcdef", scheduler_harness::step_of(1));
  BOOST_TEST_REQUIRE(owner.starts.size() == 1U);
  owner.answer_start(owner.starts.front(), call_end::other_life);
  hold_answer unheard;
  unheard.worker = worker_id("w1");
  unheard.end = call_end::unanswered;
  owner.scheduler->hold_answered(unheard, owner.now);
  owner.step();
  BOOST_TEST(owner.scheduler->take_commit(1000, owner.now).releases.contains(worker_id("w1")));
}

BOOST_AUTO_TEST_SUITE_END()
