// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>

#include "Scheduling/SchedulerHarness.h"

using namespace yardhill::scheduling;

BOOST_AUTO_TEST_SUITE(EndedJobsTest)

// An owner read a job that had ended from the store again, after the store had lost the history of
// its feed.
BOOST_AUTO_TEST_CASE(an_ended_job_is_remembered_for_a_while_and_then_dropped)
{
  const std::string id = "0123456789abcdef";
  scheduler_harness owner;
  owner.add_worker(scheduler_harness::worker("w1"));
  owner.scheduler->add_job(scheduler_harness::job(id, {scheduler_harness::step_of(1)}), owner.now);
  owner.step();
  owner.commit();
  owner.step();
  BOOST_TEST_REQUIRE(owner.starts.size() == 1U);
  owner.answer_hold("w1", {},
                    {scheduler_harness::ended(1, owner.starts.front(), run_outcome::done)});
  owner.commit();
  BOOST_TEST(!owner.scheduler->knows(id));
  BOOST_TEST(owner.scheduler->knew(id));
  owner.pass(std::chrono::minutes{6});
  owner.step();
  BOOST_TEST(!owner.scheduler->knew(id));
}

// Two workers' lists arrived in the reverse order of the runs. The earlier run's failure was taken
// for one that had been counted already, and a third attempt was made where two are allowed.
BOOST_AUTO_TEST_CASE(failures_count_in_any_order_of_arrival)
{
  const std::string id = "0123456789abcdef";
  scheduler_harness owner(2000);
  yardhill::jobs::queue_policy policy;
  policy.max_attempts = 2;
  owner.set_policy(policy);
  owner.scheduler->set_earlier_owners_lease_end(owner.now + std::chrono::seconds{16});
  owner.scheduler->worker_entry(scheduler_harness::worker("w1"), owner.now);
  owner.scheduler->worker_entry(scheduler_harness::worker("w2"), owner.now);
  yardhill::jobs::job_progress progress;
  progress.state = yardhill::jobs::job_state::active;
  progress.begun[{0, 0, 0}] = "";
  owner.scheduler->restore_job(scheduler_harness::job(id, {scheduler_harness::step_of(1)}),
                               progress, owner.now);
  owner.scheduler->begin_accounting(owner.now);
  owner.step();
  owner.answer_hold("w2", {}, {{1, {id, {0, 0, 0}}, 1002, run_outcome::failed, ""}});
  owner.answer_hold("w1", {}, {{1, {id, {0, 0, 0}}, 1001, run_outcome::failed, ""}});
  BOOST_TEST((owner.scheduler->state_of(id) == yardhill::jobs::job_state::failed));
  owner.commit();
  owner.step();
  BOOST_TEST(owner.starts.empty());
}

BOOST_AUTO_TEST_SUITE_END()
