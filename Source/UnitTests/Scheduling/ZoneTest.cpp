// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <algorithm>
#include <set>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "Scheduling/SchedulerHarness.h"

using namespace yardhill::scheduling;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr const char* k_job = "0123456789abcdef";

worker_info worker_in(const std::string& id, const std::string& zone, std::int64_t cpu_millis)
{
  worker_info info = scheduler_harness::worker(id, cpu_millis);
  info.zone = zone;
  return info;
}

// Two zones with two workers each; zone a has more capacity.
struct two_zones : scheduler_harness
{
  explicit two_zones(run_number first_run = 0) : scheduler_harness(first_run) {}

  void add_workers()
  {
    add_worker(worker_in("w1", "a", 8000));
    add_worker(worker_in("w2", "b", 7000));
    add_worker(worker_in("w3", "a", 8000));
    add_worker(worker_in("w4", "b", 7000));
  }

  void place(const yardhill::jobs::step_spec& spec)
  {
    scheduler->add_job(job(k_job, {spec}), now);
    for (int i = 0; i < 3; ++i)
    {
      step();
      commit();
    }
    step();
  }

  void lose(const std::string& id)
  {
    fail_hold(id, call_end::other_incarnation);
    scheduler->worker_entry_gone(worker_id(id), now);
  }

  // Lets time pass in which that worker answers its holds and what there is to write is written.
  void pass_with(const std::string& id, milliseconds span)
  {
    for (const time_point end = now + span; now < end;)
    {
      pass(milliseconds{100});
      commit_and_step();
      std::vector<listed_run> runs;
      for (const start_command& each : starts)
      {
        if (each.worker.value == id)
          runs.push_back(running(each));
      }
      answer_hold(id, runs);
    }
  }

  std::set<std::string> used() const
  {
    std::set<std::string> ids;
    for (const start_command& each : starts)
      ids.insert(each.worker.value);
    return ids;
  }
};

yardhill::jobs::job_progress begun_in(const std::string& zone)
{
  yardhill::jobs::job_progress progress;
  progress.state = yardhill::jobs::job_state::active;
  progress.begun[{0, 0, 0}] = zone;
  return progress;
}
} // namespace

BOOST_AUTO_TEST_SUITE(ZoneTest)

// Guards against spreading an urgent job over the zones: of 17 running `preview` jobs, 15 had a
// task in the zone that became isolated.
BOOST_FIXTURE_TEST_CASE(an_urgent_job_stays_in_one_zone, two_zones)
{
  add_workers();
  place(step_of(7));
  BOOST_TEST(starts.size() == 7U);
  BOOST_TEST(used().count("w2") + used().count("w4") == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_job_with_slack_uses_all_workers, two_zones)
{
  yardhill::jobs::queue_policy policy;
  policy.latency_target = seconds{20};
  set_policy(policy);
  add_workers();
  place(step_of(30));
  BOOST_TEST(starts.size() == 30U);
  BOOST_TEST(used().size() == 4U);
}

BOOST_FIXTURE_TEST_CASE(a_job_larger_than_a_zone_uses_several, two_zones)
{
  add_workers();
  place(step_of(20));
  BOOST_TEST(starts.size() == 20U);
  BOOST_TEST(used().size() >= 3U);
}

BOOST_FIXTURE_TEST_CASE(a_zone_that_has_become_too_small_is_left_once_that_is_written, two_zones)
{
  add_workers();
  scheduler->add_job(job(k_job, {step_of(4)}), now);
  step(); // zone a is chosen
  scheduler->worker_entry_gone(worker_id("w1"), now);
  scheduler->worker_entry_gone(worker_id("w3"), now);
  commit();
  step();
  BOOST_TEST(starts.empty());
  commit();
  step();
  BOOST_TEST(starts.size() == 4U);
  BOOST_TEST(used().count("w1") + used().count("w3") == 0U);
}

// Guards against waiting for workers of other zones after a takeover: the owner was in the isolated
// zone, and its successor held back every task of every begun step until the workers of that zone
// answered again, 5 s later.
BOOST_AUTO_TEST_CASE(a_step_that_has_begun_in_one_zone_waits_for_no_other)
{
  two_zones owner(1000);
  const std::string here = "0123456789abcde0";
  const std::string there = "0123456789abcde1";
  const std::string anywhere = "0123456789abcde2";
  owner.scheduler->set_earlier_owners_lease_end(owner.now + seconds{16});
  owner.scheduler->restore_claim(worker_id("w9"), {{"10.0.0.9", 80}, "b", false, {}}, owner.now);
  owner.scheduler->worker_entry(worker_in("w1", "a", 8000), owner.now);
  owner.scheduler->restore_job(owner.job(here, {owner.step_of(1)}), begun_in("a"), owner.now);
  owner.scheduler->restore_job(owner.job(there, {owner.step_of(1)}), begun_in("b"), owner.now);
  owner.scheduler->restore_job(owner.job(anywhere, {owner.step_of(1)}), begun_in(""), owner.now);
  owner.scheduler->begin_accounting(owner.now);
  owner.step();
  BOOST_TEST(owner.starts.empty());
  owner.answer_hold("w1", {});
  owner.commit();
  owner.step();
  BOOST_TEST_REQUIRE(owner.starts.size() == 1U);
  BOOST_TEST(owner.starts.front().task.job == here);
  owner.answer_hold("w9", {});
  owner.commit();
  owner.step();
  owner.commit();
  owner.step();
  BOOST_TEST(owner.starts.size() == 3U);
}

// Start requests into a zone that has just become isolated are lost, which delays each job whose
// tasks were sent there.
BOOST_FIXTURE_TEST_CASE(a_zone_that_answers_no_start_gets_none_until_a_worker_answers, two_zones)
{
  add_workers();
  place(step_of(4));
  BOOST_TEST_REQUIRE(starts.size() == 4U);
  for (const start_command& each : std::vector<start_command>(starts))
    answer_start(each, call_end::unanswered);
  clear();
  start_job("0123456789abcde0", step_of(2));
  BOOST_TEST_REQUIRE(starts.size() == 2U);
  BOOST_TEST(used().count("w1") + used().count("w3") == 0U);
  answer_hold("w1", {});
  answer_hold("w3", {});
  clear();
  start_job("0123456789abcde1", step_of(7));
  BOOST_TEST(used().count("w1") + used().count("w3") > 0U);
}

// Workers without runs get no calls. So if the workers that did not answer are gone, no worker of
// the zone would ever be called again and answer.
BOOST_FIXTURE_TEST_CASE(a_zone_whose_silent_workers_are_gone_is_tried_again, two_zones)
{
  add_workers();
  place(step_of(4));
  for (const start_command& each : std::vector<start_command>(starts))
    answer_start(each, call_end::unanswered);
  clear();
  silent = {"w1", "w3"};
  start_job("0123456789abcde0", step_of(20)); // more than zone b has capacity for
  BOOST_TEST(used().count("w1") + used().count("w3") == 0U);
  silent.clear();
  pass(options.zone_retry + milliseconds{1});
  clear();
  step();
  BOOST_TEST(used().count("w1") + used().count("w3") > 0U);
}

// Guards against jobs that never run again: all waiting tasks of a step are lost with a worker,
// and its zone has no other worker with the label that they require.
BOOST_FIXTURE_TEST_CASE(a_step_of_suspected_tasks_leaves_a_zone_without_suitable_workers, two_zones)
{
  worker_info here = worker_in("w1", "a", 8000);
  worker_info there = worker_in("w2", "b", 7000);
  here.labels = there.labels = {"kind"};
  add_worker(here);
  add_worker(there);
  yardhill::jobs::step_spec step_spec = step_of(2);
  step_spec.required_label = "kind";
  place(step_spec);
  BOOST_TEST_REQUIRE(starts.size() == 2U);
  BOOST_TEST_REQUIRE(used().count("w1") == 1U);
  for (const start_command& each : starts)
    answer_start(each, call_end::done);
  starts.clear();
  pass(milliseconds{100});
  lose("w1");
  add_worker(worker_in("w3", "a", 8000)); // at the lost worker's place, of another kind
  pass_with("w2", seconds{20});
  BOOST_TEST(used().count("w2") == 1U);
}

// The same once the trial of the tasks waits for a worker that is lost meanwhile.
BOOST_FIXTURE_TEST_CASE(a_zone_is_left_although_a_trial_waited_there, two_zones)
{
  for (const char* const id : {"w1", "w3"})
  {
    worker_info info = worker_in(id, "a", 4000);
    info.labels = {"kind"};
    add_worker(info);
  }
  worker_info there = worker_in("w2", "b", 7000);
  there.labels = {"kind"};
  add_worker(there);
  yardhill::jobs::step_spec step_spec = step_of(4);
  step_spec.required_label = "kind";
  place(step_spec);
  BOOST_TEST_REQUIRE(used().count("w2") == 0U);
  for (const start_command& each : starts)
    answer_start(each, call_end::done);
  starts.clear();
  pass(milliseconds{100});
  lose("w1");
  step(); // a trial may be prepared on w3
  lose("w3");
  pass_with("w2", seconds{20});
  BOOST_TEST(used().count("w2") == 1U);
}

// A zone with a worker that only has to become fit for the trial is kept.
BOOST_FIXTURE_TEST_CASE(a_step_whose_trial_waits_for_a_fit_worker_keeps_its_zone, two_zones)
{
  add_workers();
  place(step_of(7));
  BOOST_TEST_REQUIRE(used().count("w2") + used().count("w4") == 0U);
  for (const start_command& each : starts)
    answer_start(each, call_end::done);
  starts.clear();
  pass(milliseconds{100});
  lose("w1");
  pass_with("w3", milliseconds{500});
  BOOST_TEST(used().count("w2") + used().count("w4") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
