// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Advice is requested about workers on which a task may start, soon enough, and about more workers
// while the replies let no task start.

#include <algorithm>
#include <set>
#include <string>

#include <boost/test/unit_test.hpp>

#include "Scheduling/AdvisedCell.h"

using namespace yardhill;
using namespace yardhill::scheduling;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr const char* k_job = scheduler_harness::k_job;
constexpr const char* k_other_job = scheduler_harness::k_other_job;

// Between two calls for a step: a long call, the pause after a reply that permits no worker, and
// the end of another step's call.
constexpr milliseconds k_longest_gap{1700};

milliseconds longest_gap(const std::vector<advised_cell::advice_call>& calls)
{
  duration longest{0};
  for (std::size_t i = 1; i < calls.size(); ++i)
    longest = std::max(longest, calls[i].sent - calls[i - 1].sent);
  return std::chrono::duration_cast<milliseconds>(longest);
}

std::set<worker_id> workers_of(const std::vector<start_command>& runs)
{
  std::set<worker_id> workers;
  for (const start_command& each : runs)
    workers.insert(each.worker);
  return workers;
}

// A step whose tasks run on all workers known to be permitted, one task each as its limit says. The
// policy also permits every third of the other workers.
struct siblings_fill_permitted_workers : advised_cell
{
  static constexpr std::uint32_t k_tasks = 12;

  siblings_fill_permitted_workers()
  {
    add_workers(60);
    jobs::step_spec step = long_running_step(k_tasks);
    step.max_tasks_per_worker = 1;
    submit(k_job, k_long_calls, step);
    std::set<worker_id> first_named;
    permits = [&first_named](const std::string&, const worker_id& worker)
    { return first_named.size() < k_tasks && first_named.insert(worker).second; };
    BOOST_TEST_REQUIRE(play_until([this] { return runs_of(k_job).size() == k_tasks; }, seconds{3}));
    permits = [first_named](const std::string&, const worker_id& worker)
    { return first_named.contains(worker) || worker.value.back() % 3 == 0; };
    play(seconds{3}); // until all tickets have expired
    calls.clear();
  }

  // A task ends, and its worker takes no further one.
  void lose_a_task()
  {
    const start_command run = runs_of(k_job).front();
    drain(run.worker);
    end_run(run, run_outcome::failed);
    BOOST_TEST_REQUIRE(runs_of(k_job).size() == k_tasks - 1);
  }
};

// A worker that is reserved for a large task of one step, and a smaller worker with free capacity.
// Advice for another step is requested only once it is overdue, since the demand of a more urgent
// step exceeds the free capacity and the policy permits that one nowhere.
struct reserved_worker : advised_cell
{
  reserved_worker()
  {
    add_workers(1, 16000);
    submit("occupant", k_no_advice, step_of_a_minute(8000));
    BOOST_TEST_REQUIRE(play_until([this] { return runs_of("occupant").size() == 1U; }, seconds{1}));
    add_workers(1, 6000);
    jobs::queue_policy urgent = policy_with(short_calls());
    urgent.latency_target = std::chrono::minutes{30};
    add_queue("urgent", urgent);
    permits = [](const std::string& job, const worker_id&) { return job != "permitted-nowhere"; };
    submit("large", k_no_advice, step_of(1, 16000));
    submit("permitted-nowhere", "urgent", step_of(8, 4000));
    play(seconds{1});
    BOOST_TEST_REQUIRE(runs_of("large").empty());
  }

  static jobs::step_spec step_of_a_minute(std::int64_t cpu_millis)
  {
    jobs::step_spec step = step_of(1, cpu_millis);
    step.estimate = seconds{60};
    return step;
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(AdviceByRulesTest)

// Guards against calls that name only workers that have reached the step's limit per worker.
BOOST_FIXTURE_TEST_CASE(workers_at_the_step_limit_are_not_named, siblings_fill_permitted_workers)
{
  lose_a_task();
  const std::set<worker_id> full = workers_of(runs_of(k_job));
  play_until([this] { return runs_of(k_job).size() == k_tasks; }, seconds{8});
  BOOST_TEST_REQUIRE(!calls_for(k_job).empty());
  for (const advice_call& each : calls_for(k_job))
  {
    BOOST_TEST(std::none_of(each.workers.begin(), each.workers.end(),
                            [&full](const worker_id& named) { return full.contains(named); }));
  }
}

// Guards against a task that never starts because the same full workers are named in each call.
BOOST_FIXTURE_TEST_CASE(a_task_starts_beside_siblings_at_the_limit, siblings_fill_permitted_workers)
{
  lose_a_task();
  BOOST_TEST(play_until([this] { return runs_of(k_job).size() == k_tasks; }, seconds{4}));
  BOOST_TEST(calls_for(k_job).size() <= 4U);
}

// Guards against a long-running task of a late job that waits for its turn again and again, while
// younger steps use all slots for long calls.
BOOST_FIXTURE_TEST_CASE(slots_used_by_younger_steps_do_not_delay_a_long_running_task, advised_cell)
{
  add_workers(40);
  permits = [](const std::string& job, const worker_id& worker)
  { return job != k_job || worker.value >= "w130"; };
  for (int i = 0; i < 60; ++i)
    submit("younger-" + std::to_string(i), k_long_calls, step_of(1));
  submit_late(k_job, k_long_calls, long_running_step());
  BOOST_TEST(play_until([this] { return runs_of(k_job).size() == 1U; }, seconds{8}));
  BOOST_TEST(longest_gap(calls_for(k_job)).count() <= k_longest_gap.count());
}

// Guards against a long-running task of a late job that waits for its turn again and again, because
// the waiting tasks of younger steps count against all free capacity.
BOOST_FIXTURE_TEST_CASE(demand_of_younger_steps_does_not_delay_a_long_running_task, advised_cell)
{
  add_workers(40);
  permits = [](const std::string& job, const worker_id& worker)
  { return job == k_job && worker.value >= "w130"; };
  submit("younger", k_long_calls, step_of(200, 16000));
  play(seconds{2});
  submit_late(k_job, k_long_calls, long_running_step());
  BOOST_TEST(play_until([this] { return runs_of(k_job).size() == 1U; }, seconds{8}));
  BOOST_TEST(longest_gap(calls_for(k_job)).count() <= k_longest_gap.count());
}

// Guards against a step without advice because steps of another service, on whose workers it cannot
// run, have used up the budget of free capacity.
BOOST_FIXTURE_TEST_CASE(demand_in_another_service_does_not_use_up_the_budget, advised_cell)
{
  add_workers(4);
  jobs::queue_policy other = policy_with(short_calls());
  other.service = "another service";
  other.latency_target = std::chrono::minutes{30};
  add_queue("other", other);
  submit(k_other_job, "other", step_of(100, 16000));
  play(seconds{1});
  submit(k_job, k_short_calls, step_of(1));
  BOOST_TEST(play_until([this] { return runs_of(k_job).size() == 1U; }, seconds{1}));
}

// Guards against calls that go on naming a few workers while the replies permit none of them. The
// policy permits 18 of 60 workers, the last ones in the order in which they are named.
BOOST_FIXTURE_TEST_CASE(calls_name_more_workers_while_none_is_permitted, advised_cell)
{
  add_workers(60);
  permits = [](const std::string&, const worker_id& worker) { return worker.value >= "w142"; };
  submit(k_job, k_long_calls, long_running_step());
  BOOST_TEST(play_until([this] { return runs_of(k_job).size() == 1U; }, milliseconds{4500}));
  BOOST_TEST(calls_for(k_job).size() <= 5U);
}

// Guards against calls that go on naming a few workers while other tasks take the capacity of the
// permitted ones before each reply.
BOOST_FIXTURE_TEST_CASE(calls_name_more_workers_while_none_is_usable, advised_cell)
{
  add_workers(60);
  on_call = [this](const advice_call& call)
  {
    for (const worker_id& each : call.workers)
    {
      jobs::step_spec step = long_running_step(1, 16000);
      step.required_label = each.value;
      submit("on-" + each.value, k_no_advice, step);
    }
  };
  submit(k_job, k_long_calls, long_running_step());
  play_until([this] { return calls.size() == 3U; }, seconds{8});
  BOOST_TEST_REQUIRE(calls.size() == 3U);
  BOOST_TEST(calls[1].workers.size() > calls[0].workers.size());
  BOOST_TEST(calls[2].workers.size() > calls[1].workers.size());
}

// Guards against an overdue request that names a worker reserved for another step, on which the
// task may not start.
BOOST_FIXTURE_TEST_CASE(an_overdue_request_names_no_reserved_worker, reserved_worker)
{
  submit(k_job, k_short_calls, long_running_step(1, 4000));
  play_until([this] { return !calls_for(k_job).empty(); }, seconds{4});
  BOOST_TEST_REQUIRE(calls_for(k_job).size() == 1U);
  const std::vector<worker_id> named = calls_for(k_job).front().workers;
  BOOST_TEST_REQUIRE(named.size() == 1U);
  BOOST_TEST(named.front().value == "w101");
}

// Guards against a step with short calls that is not asked about for as long as a step that has
// waited longer finds all slots for long calls taken.
BOOST_FIXTURE_TEST_CASE(taken_long_slots_do_not_block_an_overdue_short_call, advised_cell)
{
  add_workers(4);
  scheduler->set_advice_slots({1, 1});
  jobs::queue_policy slow = policy_with(long_calls());
  slow.advice->per_call = std::chrono::minutes{1};
  add_queue("slow", slow);
  jobs::queue_policy urgent = policy_with(short_calls());
  urgent.latency_target = std::chrono::minutes{30};
  add_queue("urgent", urgent);
  permits = [](const std::string& job, const worker_id&) { return job == k_job; };
  submit("holds-the-slot", "slow", step_of(1));
  play(seconds{1});
  BOOST_TEST_REQUIRE(calls_for("holds-the-slot").size() == 1U);
  submit("waits-for-the-slot", "slow", step_of(1));
  submit("permitted-nowhere", "urgent", step_of(100, 16000)); // uses up the budget
  play(seconds{1});
  submit(k_job, k_short_calls, step_of(1));
  BOOST_TEST(play_until([this] { return runs_of(k_job).size() == 1U; }, seconds{4}));
}

BOOST_AUTO_TEST_SUITE_END()
