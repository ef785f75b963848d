// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// The claim of a silent worker says when all that runs there is over. Later owners start its tasks
// elsewhere by that word, so it has to stay true.

#include <boost/test/unit_test.hpp>

#include "Scheduling/SchedulerHarness.h"

using namespace yardhill::scheduling;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr const char* k_job = "0123456789abcdef";

struct stated_end : scheduler_harness
{
  explicit stated_end(run_number first_run = 0) : scheduler_harness(first_run) {}

  void miss_hold(const std::string& worker)
  {
    hold_answer answer;
    answer.worker = worker_id(worker);
    answer.sent = now;
    scheduler->hold_answered(answer, now);
  }

  // Unanswered for as long as it takes to close a claim.
  void fall_silent(const std::string& worker)
  {
    miss_hold(worker);
    pass(options.close_claim_after);
    step();
  }

  std::optional<worker_claim> next_claim(const std::string& worker)
  {
    const commit_batch batch = scheduler->take_commit(1000, now);
    const auto found = batch.claims.find(worker_id(worker));
    std::optional<worker_claim> claim;
    if (found != batch.claims.end())
      claim = found->second;
    scheduler->commit_done(batch, true);
    return claim;
  }
};

// A worker with a run whose lease was given at `leased`.
struct silent_worker : stated_end
{
  silent_worker()
  {
    add_worker(worker("w1"));
    start_job(k_job, step_of(1));
    BOOST_TEST_REQUIRE(starts.size() == 1U);
    run = running(starts.front());
    answer_start(starts.front(), call_end::done);
    answer_hold("w1", {run});
    clear();
    step();
    leased = now;
    BOOST_TEST_REQUIRE(holds.size() == 1U);
    BOOST_TEST(holds.front().lease_end.has_value());
    fall_silent("w1");
  }

  listed_run run;
  time_point leased;
};

// An owner that has taken over; what earlier ones ordered is over after 12 s. A task of theirs is
// listed on w9, which does not answer.
struct later_owner : stated_end
{
  later_owner() : stated_end(1000) {}

  void take_over(const worker_claim& claim)
  {
    scheduler->set_earlier_owners_lease_end(now + seconds{12});
    scheduler->restore_claim(worker_id("w9"), claim, now);
    scheduler->worker_entry(worker("w1"), now);
    yardhill::jobs::job_progress progress;
    progress.state = yardhill::jobs::job_state::active;
    progress.begun[{0, 0, 0}] = "";
    scheduler->restore_job(job(k_job, {step_of(1)}), progress, now);
    scheduler->begin_accounting(now);
    step();
    answer_hold("w1", {});
    commit();
    step();
  }

  worker_claim listed_until(std::optional<time_point> over) const
  {
    worker_claim claim;
    claim.address = {"10.0.0.9", 80};
    claim.zone = "zone";
    claim.closed = true;
    claim.tasks = {{k_job, {0, 0, 0}}};
    claim.over = over;
    return claim;
  }

  bool starts_after(milliseconds time)
  {
    pass(time);
    step(); // gives up what is over
    commit();
    step();
    return !starts.empty();
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(StatedEndTest)

BOOST_FIXTURE_TEST_CASE(the_claim_of_a_silent_worker_says_when_its_lease_is_over, silent_worker)
{
  const auto claim = next_claim("w1");
  BOOST_TEST_REQUIRE(claim.has_value());
  BOOST_TEST(claim->closed);
  BOOST_TEST_REQUIRE(claim->over.has_value());
  BOOST_TEST((*claim->over == leased + options.max_lease()));
}

// An extended lease would make what the store says untrue.
BOOST_FIXTURE_TEST_CASE(a_worker_that_answers_again_is_leased_once_its_end_is_taken_back,
                        silent_worker)
{
  BOOST_TEST(next_claim("w1")->over.has_value());
  clear();
  answer_hold("w1", {run});
  for (int i = 0; i < 4; ++i)
  {
    pass(milliseconds{250});
    step();
    BOOST_TEST_REQUIRE(!holds.empty());
    for (const hold_command& each : holds)
      BOOST_TEST(!each.lease_end.has_value());
    clear();
    answer_hold("w1", {run});
  }
  const auto claim = next_claim("w1");
  BOOST_TEST_REQUIRE(claim.has_value());
  BOOST_TEST(!claim->closed);
  BOOST_TEST(!claim->over.has_value());
  step();
  BOOST_TEST_REQUIRE(holds.size() == 1U);
  BOOST_TEST(holds.front().lease_end.has_value());
}

// It may be written although no answer has come.
BOOST_FIXTURE_TEST_CASE(no_lease_is_extended_while_the_end_is_on_its_way, silent_worker)
{
  const commit_batch batch = scheduler->take_commit(1000, now);
  BOOST_TEST(batch.claims.at(worker_id("w1")).over.has_value());
  clear();
  answer_hold("w1", {run});
  pass(milliseconds{250});
  step();
  BOOST_TEST_REQUIRE(holds.size() == 1U);
  BOOST_TEST(!holds.front().lease_end.has_value());
}

BOOST_FIXTURE_TEST_CASE(nothing_starts_on_a_worker_whose_end_is_stated, silent_worker)
{
  BOOST_TEST(next_claim("w1")->over.has_value());
  answer_hold("w1", {run});
  scheduler->add_job(job("fedcba9876543210", {step_of(1)}), now);
  clear();
  step();
  const commit_batch batch = scheduler->take_commit(1000, now); // takes the end back
  BOOST_TEST(!batch.claims.at(worker_id("w1")).over.has_value());
  step();
  BOOST_TEST(starts.empty());
  scheduler->commit_done(batch, true);
  step();
  commit(); // that the step has begun
  step();
  BOOST_TEST(starts.size() == 1U);
}

// Its leases are extended until it is gone.
BOOST_FIXTURE_TEST_CASE(a_leaving_worker_that_answers_has_no_end, stated_end)
{
  add_worker(worker("w1"));
  worker_info leaving = worker("w1");
  leaving.draining = true;
  scheduler->worker_entry(leaving, now);
  const auto claim = next_claim("w1");
  BOOST_TEST_REQUIRE(claim.has_value());
  BOOST_TEST(claim->closed);
  BOOST_TEST(!claim->over.has_value());
}

BOOST_FIXTURE_TEST_CASE(a_later_owner_waits_until_the_stated_end_and_no_longer, later_owner)
{
  take_over(listed_until(now + seconds{3}));
  BOOST_TEST(!starts_after(milliseconds{2900}));
  BOOST_TEST(starts_after(milliseconds{150}));
}

BOOST_FIXTURE_TEST_CASE(a_later_owner_waits_no_longer_than_by_its_own_count, later_owner)
{
  take_over(listed_until(now + seconds{30}));
  BOOST_TEST(!starts_after(milliseconds{11900}));
  BOOST_TEST(starts_after(milliseconds{150}));
}

BOOST_FIXTURE_TEST_CASE(without_a_stated_end_a_later_owner_waits_by_its_own_count, later_owner)
{
  take_over(listed_until(std::nullopt));
  BOOST_TEST(!starts_after(milliseconds{11900}));
  BOOST_TEST(starts_after(milliseconds{150}));
}

// So that the next owner goes on with this one's wait. What may run there is known to earlier
// owners alone.
BOOST_FIXTURE_TEST_CASE(the_claim_of_a_worker_never_heard_gets_the_end_of_earlier_orders,
                        later_owner)
{
  const time_point end = now + seconds{12};
  take_over(listed_until(std::nullopt));
  fall_silent("w9");
  const auto claim = next_claim("w9");
  BOOST_TEST_REQUIRE(claim.has_value());
  BOOST_TEST((claim->over == end));
  BOOST_TEST(claim->closed);
  BOOST_TEST(claim->tasks.size() == 1U);
  pass(seconds{1});
  step();
  BOOST_TEST(!next_claim("w9").has_value()); // said once
}

BOOST_FIXTURE_TEST_CASE(a_stated_end_holds_for_the_owners_after_the_next_one, later_owner)
{
  take_over(listed_until(now + seconds{3}));
  fall_silent("w9");
  BOOST_TEST(!next_claim("w9").has_value());
}

// While instances are updated one after the other an owner of an earlier version may come in
// between: it extends leases and leaves an end that was stated before as it is.
BOOST_FIXTURE_TEST_CASE(an_end_is_not_believed_if_the_last_owner_knew_of_none, later_owner)
{
  scheduler->ignore_stated_ends();
  take_over(listed_until(now + seconds{1}));
  pass(options.state_end_after);
  step();
  const auto claim = next_claim("w9");
  BOOST_TEST_REQUIRE(claim.has_value());
  BOOST_TEST_REQUIRE(claim->over.has_value());
  BOOST_TEST((*claim->over > now + seconds{10}));
  BOOST_TEST(!starts_after(seconds{2}));
}

// Owners that were all lost within a quarter of a second of each other stated no end, so each
// counted the leases of a worker that was gone anew, and its tasks waited for them all.
BOOST_FIXTURE_TEST_CASE(an_owner_states_the_end_of_the_few_that_do_not_answer_at_once, later_owner)
{
  const time_point end = now + seconds{12};
  take_over(listed_until(std::nullopt));
  pass(options.state_end_after);
  step();
  const auto claim = next_claim("w9");
  BOOST_TEST_REQUIRE(claim.has_value());
  BOOST_TEST((claim->over == end));
}

// It may be heard the moment after that: no lease is extended until the end is taken back.
BOOST_FIXTURE_TEST_CASE(an_end_stated_early_is_taken_back_once_the_worker_is_heard, later_owner)
{
  take_over(listed_until(std::nullopt));
  scheduler->worker_entry(worker("w9"), now);
  pass(options.state_end_after);
  step();
  BOOST_TEST_REQUIRE(next_claim("w9").has_value());
  clear();
  answer_hold("w9", {});
  step();
  for (const hold_command& each : holds)
    BOOST_TEST((each.worker != worker_id("w9") || !each.lease_end.has_value()));
  const auto claim = next_claim("w9");
  BOOST_TEST_REQUIRE(claim.has_value());
  BOOST_TEST(!claim->over.has_value());
}

BOOST_FIXTURE_TEST_CASE(an_end_that_is_not_believed_is_taken_back_before_a_lease_is_extended,
                        later_owner)
{
  scheduler->ignore_stated_ends();
  take_over(listed_until(now + seconds{1}));
  scheduler->worker_entry(worker("w9"), now);
  clear();
  answer_hold("w9", {});
  step();
  for (const hold_command& each : holds)
    BOOST_TEST((each.worker != worker_id("w9") || !each.lease_end.has_value()));
  const auto claim = next_claim("w9");
  BOOST_TEST_REQUIRE(claim.has_value());
  BOOST_TEST(!claim->over.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
