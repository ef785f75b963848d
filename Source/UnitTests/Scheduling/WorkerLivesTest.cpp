// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// A worker that starts again under its id: which life answers, what is known of it, and what was
// sent to the one before.

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "UnitTests/Scheduling/SchedulerHarness.h"

using namespace yardhill::scheduling;
using std::chrono::milliseconds;

namespace
{
const incarnation_start k_first{milliseconds{1'000'000}};
// A clock may have jumped back: which life is the later one does not follow from it.
const incarnation_start k_second{milliseconds{900'000}};

worker_info born_at(incarnation_start born)
{
  worker_info info = scheduler_harness::worker("w1");
  info.born = born;
  return info;
}

// One worker, known by its first life.
struct lives_harness : scheduler_harness
{
  lives_harness()
  {
    born = k_first;
    add_worker(born_at(k_first));
  }

  // A running task that the first life has listed.
  start_command run_listed()
  {
    start_job(k_job, step_of(1));
    BOOST_TEST_REQUIRE(starts.size() == 1U);
    start_command order = starts.front();
    answer_start(order, call_end::done);
    pass(milliseconds{10});
    answer_hold("w1", {running(order)});
    step();
    clear();
    return order;
  }

  // Answers as another life, to calls that are sent now.
  void restart()
  {
    pass(milliseconds{500});
    born = k_second;
    answer_hold("w1", {});
    step();
  }
};

// The owner takes over what one before had claimed.
struct claimed_harness : takeover_harness
{
  claimed_harness()
  {
    restore_begun(k_job);
    worker_claim claim;
    claim.address = worker("w1").address;
    claim.zone = "zone";
    claim.born = k_first;
    restore_claim("w1", claim);
    begin();
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(WorkerLivesTest)

BOOST_FIXTURE_TEST_CASE(what_ran_in_the_life_before_starts_again, lives_harness)
{
  const start_command before = run_listed();
  restart();
  scheduler->worker_entry(born_at(k_second), now);
  answer_hold("w1", {});
  commit_and_step();
  commit_and_step();
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  BOOST_TEST((starts.front().task == before.task));
  BOOST_TEST(starts.front().run > before.run);
}

BOOST_FIXTURE_TEST_CASE(numbers_of_ends_begin_anew, lives_harness)
{
  const start_command before = run_listed();
  answer_hold("w1", {}, {ended(5, before, run_outcome::failed)});
  commit_and_step();
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  clear();
  restart();
  scheduler->worker_entry(born_at(k_second), now);
  answer_hold("w1", {});
  commit_and_step();
  commit_and_step();
  BOOST_TEST_REQUIRE(!starts.empty());
  BOOST_TEST(std::all_of(holds.begin(), holds.end(),
                         [](const hold_command& each) { return each.acknowledged == 0; }));
  const start_command again = starts.back();
  answer_start(again, call_end::done);
  answer_hold("w1", {}, {ended(1, again, run_outcome::done)});
  commit_and_step();
  BOOST_TEST((scheduler->state_of(k_job) == yardhill::jobs::job_state::completed));
}

BOOST_FIXTURE_TEST_CASE(lists_with_a_clock_that_begins_anew_are_taken_in, lives_harness)
{
  const start_command before = run_listed();
  pass(milliseconds{500});
  hold_answer answer;
  answer.worker = before.worker;
  answer.end = call_end::done;
  answer.clock = milliseconds{40};
  answer.sent = now;
  answer.token = token;
  answer.born = k_second;
  scheduler->hold_answered(answer, now);
  BOOST_TEST(metrics.value(yardhill::common::counter::workers_crashed) == 1U);
  answer.clock = milliseconds{80};
  answer.running = {running(before)}; // a late copy of its start
  scheduler->hold_answered(answer, now);
  step();
  BOOST_TEST(starts.empty());
}

BOOST_FIXTURE_TEST_CASE(the_next_life_obeys_no_order_to_the_one_before, lives_harness)
{
  run_listed();
  const fencing_token before = token;
  commit();
  restart();
  BOOST_TEST_REQUIRE(!holds.empty());
  BOOST_TEST(holds.back().token > before);
}

// A hold that had no answer was carried out by the next life, which forgot an end that nobody had
// read; nobody knew of that life yet.
BOOST_FIXTURE_TEST_CASE(a_start_after_an_unanswered_hold_voids_that_hold, lives_harness)
{
  const start_command earlier = run_listed();
  fail_hold("w1", call_end::unanswered);
  commit_and_step();
  answer_hold("w1", {running(earlier)});
  clear();
  start_job(k_other_job, step_of(1));
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  BOOST_TEST(starts.front().token > earlier.token);
}

// The start may reach the next life yet, so the task waits until that one has been claimed.
BOOST_FIXTURE_TEST_CASE(a_start_on_its_way_to_the_life_before_is_waited_for, lives_harness)
{
  start_job(k_job, step_of(1));
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  const start_command order = starts.front();
  clear();
  answer_start(order, call_end::unanswered);
  add_worker(worker("w2")); // with room for the task
  pass(milliseconds{500});
  born = k_second;
  answer_hold("w1", {});
  step();
  BOOST_TEST(starts.empty());
  answer_hold("w1", {running(order)});
  step();
  BOOST_TEST(starts.empty());
  BOOST_TEST((scheduler->state_of(k_job) == yardhill::jobs::job_state::active));
}

BOOST_FIXTURE_TEST_CASE(an_answer_to_an_earlier_call_does_not_bring_a_life_back, lives_harness)
{
  run_listed();
  hold_answer overtaken;
  overtaken.worker = worker("w1").id;
  overtaken.end = call_end::done;
  overtaken.clock = clock();
  overtaken.sent = now;
  overtaken.token = token;
  overtaken.born = k_first;
  restart();
  pass(milliseconds{5});
  scheduler->hold_answered(overtaken, now);
  BOOST_TEST(metrics.value(yardhill::common::counter::workers_restarted) == 1U);
  BOOST_TEST(metrics.value(yardhill::common::counter::workers_crashed) == 1U);
}

BOOST_FIXTURE_TEST_CASE(its_own_newer_token_is_no_later_owner, lives_harness)
{
  const start_command before = run_listed();
  commit();
  restart();
  answer_start(before, call_end::fenced);
  BOOST_TEST(!scheduler->fenced());
  start_command present = before;
  present.token = holds.back().token;
  answer_start(present, call_end::fenced);
  BOOST_TEST(scheduler->fenced());
}

// An entry may be a late one or another writer's, so it names no life; but nothing new is meant for
// a worker whose kind and room only such an entry tells.
BOOST_FIXTURE_TEST_CASE(an_entry_of_another_life_is_not_used_until_that_life_answers, lives_harness)
{
  scheduler->worker_entry(born_at(k_second), now);
  step();
  BOOST_TEST(!holds.empty());
  BOOST_TEST(metrics.value(yardhill::common::counter::workers_crashed) == 0U);
  start_job(k_job, step_of(1));
  BOOST_TEST(starts.empty());
  scheduler->worker_entry(born_at(k_first), now);
  step();
  commit_and_step();
  BOOST_TEST(starts.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_life_without_an_entry_of_its_own_gets_nothing_new, lives_harness)
{
  restart();
  answer_hold("w1", {});
  commit_and_step();
  start_job(k_job, step_of(1));
  BOOST_TEST(starts.empty());
  scheduler->worker_entry(born_at(k_second), now);
  step();
  commit_and_step();
  BOOST_TEST(starts.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(claims_say_which_life_they_are_of, lives_harness)
{
  restart();
  answer_hold("w1", {});
  const commit_batch batch = scheduler->take_commit(100, now);
  BOOST_TEST_REQUIRE(batch.claims.contains(worker("w1").id));
  BOOST_TEST((batch.claims.at(worker("w1").id).born == k_second));
}

BOOST_FIXTURE_TEST_CASE(what_a_claim_of_an_earlier_life_tells_of_has_ended, claimed_harness)
{
  born = k_second;
  scheduler->worker_entry(born_at(k_second), now);
  answer_hold("w1", {});
  commit_and_step();
  commit_and_step();
  BOOST_TEST(starts.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(what_the_claimed_life_still_runs_is_taken_over, claimed_harness)
{
  born = k_first;
  scheduler->worker_entry(born_at(k_first), now);
  answer_hold("w1", {earlier_run()});
  commit_and_step();
  commit_and_step();
  BOOST_TEST(starts.empty());
}

BOOST_AUTO_TEST_SUITE_END()
