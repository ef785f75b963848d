// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// A worker that restarts under its id: which incarnation answers, what is known of it, and what
// becomes of requests to the earlier one.

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "UnitTests/Scheduling/SchedulerHarness.h"

using namespace yardhill::scheduling;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
const incarnation_start k_first_start_time{milliseconds{1'000'000}};
// Earlier than k_first_start_time, since a worker's clock may have jumped back: the start times do
// not show which incarnation is the later one.
const incarnation_start k_second_start_time{milliseconds{900'000}};

worker_info born_at(incarnation_start born)
{
  worker_info info = scheduler_harness::worker("w1");
  info.born = born;
  return info;
}

// One worker, known by its first incarnation.
struct incarnations_harness : scheduler_harness
{
  incarnations_harness()
  {
    born = k_first_start_time;
    add_worker(born_at(k_first_start_time));
  }

  // Starts a task and lets the first incarnation list it as running.
  start_command start_listed_run()
  {
    start_job(k_job, step_of(1));
    BOOST_TEST_REQUIRE(starts.size() == 1U);
    start_command request = starts.front();
    answer_start(request, call_end::done);
    pass(milliseconds{10});
    answer_hold("w1", {running(request)});
    step();
    clear();
    return request;
  }

  // Answers as another incarnation to a call that is sent now.
  void restart()
  {
    pass(milliseconds{500});
    born = k_second_start_time;
    answer_hold("w1", {});
    step();
  }
};

// An owner takes over a worker that an earlier owner had claimed.
struct claimed_harness : takeover_harness
{
  claimed_harness()
  {
    restore_begun(k_job);
    worker_claim claim;
    claim.address = worker("w1").address;
    claim.zone = "zone";
    claim.born = k_first_start_time;
    restore_claim("w1", claim);
    begin();
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(WorkerLivesTest)

BOOST_FIXTURE_TEST_CASE(runs_of_the_earlier_incarnation_start_again, incarnations_harness)
{
  const start_command before = start_listed_run();
  restart();
  scheduler->worker_entry(born_at(k_second_start_time), now);
  answer_hold("w1", {});
  commit_and_step();
  commit_and_step();
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  BOOST_TEST((starts.front().task == before.task));
  BOOST_TEST(starts.front().run > before.run);
}

BOOST_FIXTURE_TEST_CASE(end_numbers_begin_anew, incarnations_harness)
{
  const start_command before = start_listed_run();
  answer_hold("w1", {}, {ended(5, before, run_outcome::failed)});
  commit_and_step();
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  clear();
  restart();
  scheduler->worker_entry(born_at(k_second_start_time), now);
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

BOOST_FIXTURE_TEST_CASE(lists_with_a_clock_that_begins_anew_are_applied, incarnations_harness)
{
  const start_command before = start_listed_run();
  pass(milliseconds{500});
  hold_answer answer;
  answer.worker = before.worker;
  answer.end = call_end::done;
  answer.clock = milliseconds{40};
  answer.sent = now;
  answer.token = token;
  answer.born = k_second_start_time;
  scheduler->hold_answered(answer, now);
  BOOST_TEST(metrics.value(yardhill::common::counter::workers_crashed) == 1U);
  answer.clock = milliseconds{80};
  answer.running = {running(before)}; // a late copy of the start request
  scheduler->hold_answered(answer, now);
  step();
  BOOST_TEST(starts.empty());
}

BOOST_FIXTURE_TEST_CASE(requests_to_the_earlier_incarnation_have_a_lower_token,
                        incarnations_harness)
{
  start_listed_run();
  const fencing_token before = token;
  commit();
  restart();
  BOOST_TEST_REQUIRE(!holds.empty());
  BOOST_TEST(holds.back().token > before);
}

// Guards against an end that is forgotten unread. A hold that had no answer was carried out by the
// next incarnation, of which the owner did not know yet, and which forgot an end of its own because
// of the hold's acknowledgement.
BOOST_FIXTURE_TEST_CASE(a_start_request_after_an_unanswered_hold_voids_that_hold,
                        incarnations_harness)
{
  const start_command earlier = start_listed_run();
  fail_hold("w1", call_end::unanswered);
  commit_and_step();
  answer_hold("w1", {running(earlier)});
  clear();
  start_job(k_other_job, step_of(1));
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  BOOST_TEST(starts.front().token > earlier.token);
}

// The start request may still reach the next incarnation, so the task waits until that one has been
// claimed.
BOOST_FIXTURE_TEST_CASE(a_start_request_in_flight_to_the_earlier_incarnation_is_waited_for,
                        incarnations_harness)
{
  start_job(k_job, step_of(1));
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  const start_command request = starts.front();
  clear();
  answer_start(request, call_end::unanswered);
  add_worker(worker("w2")); // with capacity for the task
  pass(milliseconds{500});
  born = k_second_start_time;
  answer_hold("w1", {});
  step();
  BOOST_TEST(starts.empty());
  answer_hold("w1", {running(request)});
  step();
  BOOST_TEST(starts.empty());
  BOOST_TEST((scheduler->state_of(k_job) == yardhill::jobs::job_state::active));
}

BOOST_FIXTURE_TEST_CASE(an_answer_to_an_earlier_call_does_not_restore_an_ended_incarnation,
                        incarnations_harness)
{
  start_listed_run();
  hold_answer overtaken;
  overtaken.worker = worker("w1").id;
  overtaken.end = call_end::done;
  overtaken.clock = clock();
  overtaken.sent = now;
  overtaken.token = token;
  overtaken.born = k_first_start_time;
  restart();
  pass(milliseconds{5});
  scheduler->hold_answered(overtaken, now);
  BOOST_TEST(metrics.value(yardhill::common::counter::workers_restarted) == 1U);
  BOOST_TEST(metrics.value(yardhill::common::counter::workers_crashed) == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_rejection_because_of_this_owners_newer_token_does_not_mean_a_later_owner,
                        incarnations_harness)
{
  const start_command before = start_listed_run();
  commit();
  restart();
  answer_start(before, call_end::fenced);
  BOOST_TEST(!scheduler->fenced());
  start_command present = before;
  present.token = holds.back().token;
  answer_start(present, call_end::fenced);
  BOOST_TEST(scheduler->fenced());
}

// An entry may be late or come from another writer, so it does not prove which incarnation is
// there. But nothing new is placed on a worker whose kind and capacity are known from such an entry
// alone.
BOOST_FIXTURE_TEST_CASE(an_entry_of_another_incarnation_is_not_used_until_that_one_answers,
                        incarnations_harness)
{
  scheduler->worker_entry(born_at(k_second_start_time), now);
  step();
  BOOST_TEST(!holds.empty());
  BOOST_TEST(metrics.value(yardhill::common::counter::workers_crashed) == 0U);
  start_job(k_job, step_of(1));
  BOOST_TEST(starts.empty());
  scheduler->worker_entry(born_at(k_first_start_time), now);
  step();
  commit_and_step();
  BOOST_TEST(starts.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(an_incarnation_without_an_entry_of_its_own_gets_nothing_new,
                        incarnations_harness)
{
  restart();
  answer_hold("w1", {});
  commit_and_step();
  start_job(k_job, step_of(1));
  BOOST_TEST(starts.empty());
  scheduler->worker_entry(born_at(k_second_start_time), now);
  step();
  commit_and_step();
  BOOST_TEST(starts.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(claims_name_their_incarnation, incarnations_harness)
{
  restart();
  answer_hold("w1", {});
  const commit_batch batch = scheduler->take_commit(100, now);
  BOOST_TEST_REQUIRE(batch.claims.contains(worker("w1").id));
  BOOST_TEST((batch.claims.at(worker("w1").id).born == k_second_start_time));
}

BOOST_FIXTURE_TEST_CASE(runs_claimed_in_an_earlier_incarnation_have_ended, claimed_harness)
{
  born = k_second_start_time;
  scheduler->worker_entry(born_at(k_second_start_time), now);
  answer_hold("w1", {});
  commit_and_step();
  commit_and_step();
  BOOST_TEST(starts.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(runs_of_the_claimed_incarnation_are_taken_over, claimed_harness)
{
  born = k_first_start_time;
  scheduler->worker_entry(born_at(k_first_start_time), now);
  answer_hold("w1", {earlier_run()});
  commit_and_step();
  commit_and_step();
  BOOST_TEST(starts.empty());
}

// The next incarnation of an idle worker may have less capacity than the known one.
BOOST_FIXTURE_TEST_CASE(nothing_is_started_until_the_present_incarnation_is_confirmed,
                        incarnations_harness)
{
  pass(seconds{1});
  silent = {"w1"};
  start_job(k_job, step_of(1));
  BOOST_TEST(starts.empty());
  BOOST_TEST_REQUIRE(!holds.empty());
  BOOST_TEST(holds.back().wait.count() == 0);
  born = k_second_start_time;
  answer_hold("w1", {});
  step();
  BOOST_TEST(starts.empty());
  BOOST_TEST(metrics.value(yardhill::common::counter::workers_restarted) == 1U);
}

BOOST_FIXTURE_TEST_CASE(no_start_is_sent_again_until_the_present_incarnation_is_confirmed,
                        incarnations_harness)
{
  start_job(k_job, step_of(1));
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  answer_start(starts.front(), call_end::unanswered);
  clear();
  silent = {"w1"};
  pass(milliseconds{310});
  step();
  BOOST_TEST(starts.empty());
  answer_hold("w1", {});
  step();
  BOOST_TEST(starts.size() == 1U);
}

// The worker's next incarnation may carry out an unanswered copy, which must not run a task whose
// end is acknowledged.
BOOST_FIXTURE_TEST_CASE(an_end_is_not_acknowledged_while_a_copy_of_its_start_may_be_carried_out,
                        incarnations_harness)
{
  start_job(k_job, step_of(1));
  const start_command request = starts.front();
  answer_start(request, call_end::unanswered);
  pass(milliseconds{310});
  step();
  answer_start(request, call_end::done);
  pass(milliseconds{700});
  answer_hold("w1", {}, {ended(1, request, run_outcome::done)});
  const auto acknowledged = [this]
  {
    clear();
    answer_hold("w1", {}, {});
    commit_and_step();
    pass(options.hold_retry);
    step();
    return !holds.empty() && holds.back().acknowledged == 1;
  };
  BOOST_TEST(!acknowledged());
  BOOST_TEST((scheduler->state_of(k_job) == yardhill::jobs::job_state::completed));
  pass(options.late_start_window);
  BOOST_TEST(acknowledged());
}

BOOST_AUTO_TEST_SUITE_END()
