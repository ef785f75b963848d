// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>

#include "Scheduling/SchedulerHarness.h"

using namespace yardhill::scheduling;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
// One task runs on w1; then w2 comes and w1 begins to drain.
struct draining_worker : scheduler_harness
{
  void play(const yardhill::jobs::step_spec& spec)
  {
    send_first_start(spec);
    answer_start(starts.front(), call_end::done);
    answer_hold("w1", {running(starts.front())});
    add_worker(worker("w2"));
    drain();
  }

  void drain()
  {
    worker_info leaving = worker("w1");
    leaving.draining = true;
    scheduler->worker_entry(leaving, now);
    step();
  }
};

yardhill::jobs::step_spec lasting()
{
  yardhill::jobs::step_spec spec = scheduler_harness::step_of(1);
  spec.long_running = true;
  return spec;
}

yardhill::jobs::step_spec saving(milliseconds estimate)
{
  yardhill::jobs::step_spec spec = scheduler_harness::step_of(1);
  spec.checkpointing = true;
  spec.estimate = estimate;
  return spec;
}
} // namespace

BOOST_AUTO_TEST_SUITE(DrainTest)

// Periyar, scale-2, 28.9 s: an owner was killed while a worker was leaving; its open claim kept
// every task of the partition waiting for 12 s. (And mix, seed 373484793891: LOST.)
BOOST_FIXTURE_TEST_CASE(a_draining_worker_has_a_closed_claim_that_shrinks, draining_worker)
{
  play(step_of(1));
  commit_batch batch = scheduler->take_commit(1000, now);
  BOOST_TEST_REQUIRE(batch.claims.contains(worker_id("w1")));
  BOOST_TEST(batch.claims.at(worker_id("w1")).closed);
  BOOST_TEST(batch.claims.at(worker_id("w1")).tasks.size() == 1U);
  scheduler->commit_done(batch, true);
  BOOST_TEST(!scheduler->has_changes(now));
  answer_hold("w1", {}, {ended(1, starts.front(), run_outcome::done)});
  batch = scheduler->take_commit(1000, now);
  BOOST_TEST_REQUIRE(batch.claims.contains(worker_id("w1")));
  BOOST_TEST(batch.claims.at(worker_id("w1")).tasks.empty());
}

BOOST_FIXTURE_TEST_CASE(a_lasting_task_moves_off_once_another_worker_has_room, draining_worker)
{
  play(lasting());
  BOOST_TEST_REQUIRE(stops.size() == 1U);
  BOOST_TEST(starts.size() == 1U); // not before the first run has ended
  answer_stop(stops.front(), call_end::done);
  answer_hold("w1", {}, {ended(1, starts.front(), run_outcome::stopped)});
  step();
  BOOST_TEST_REQUIRE(starts.size() == 2U);
  BOOST_TEST(starts.back().worker.value == "w2");
}

BOOST_FIXTURE_TEST_CASE(without_room_elsewhere_a_lasting_task_stays, draining_worker)
{
  send_first_start(lasting());
  answer_start(starts.front(), call_end::done);
  drain();
  BOOST_TEST(stops.empty());
}

BOOST_FIXTURE_TEST_CASE(a_task_that_saves_its_work_moves_if_it_would_not_end_in_time,
                        draining_worker)
{
  play(saving(seconds{10}));
  BOOST_TEST_REQUIRE(stops.size() == 1U);
  answer_hold("w1", {}, {ended(1, starts.front(), run_outcome::stopped, "saved")});
  step();
  BOOST_TEST_REQUIRE(starts.size() == 2U);
  BOOST_TEST(starts.back().checkpoint == "saved");
}

BOOST_FIXTURE_TEST_CASE(a_task_that_ends_in_time_stays, draining_worker)
{
  play(saving(seconds{1}));
  BOOST_TEST(stops.empty());
}

BOOST_FIXTURE_TEST_CASE(a_task_that_would_begin_again_stays, draining_worker)
{
  play(step_of(1));
  BOOST_TEST(stops.empty());
}

BOOST_AUTO_TEST_SUITE_END()
