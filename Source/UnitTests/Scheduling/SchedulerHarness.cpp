// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/SchedulerHarness.h"

#include <utility>

#include <boost/test/unit_test.hpp>

namespace yardhill::scheduling
{
namespace
{
constexpr const char* k_queue = "queue";
constexpr const char* k_service = "service";
constexpr std::chrono::seconds k_worker_clock_lag{30};
constexpr std::chrono::seconds k_earlier_owner_lease_time{16};
constexpr int k_max_confirmations = 10; // in one step
constexpr run_number k_earlier_run = 7;
constexpr run_number k_first_run_after_takeover = 1000;

void collect_command(const command& issued, scheduler_harness& harness)
{
  if (const auto* start = std::get_if<start_command>(&issued))
    harness.starts.push_back(*start);
  else if (const auto* stop = std::get_if<stop_command>(&issued))
    harness.stops.push_back(*stop);
  else if (const auto* hold = std::get_if<hold_command>(&issued))
    harness.holds.push_back(*hold);
  else if (const auto* pace = std::get_if<pace_command>(&issued))
    harness.paces.push_back(*pace);
  else if (const auto* advice = std::get_if<advice_command>(&issued))
    harness.questions.push_back(*advice);
}
} // namespace

scheduler_harness::scheduler_harness(run_number first_run)
    : scheduler(std::make_unique<job_scheduler>(options, first_run, metrics))
{
  scheduler->set_authority(now + std::chrono::hours{1}, now);
  jobs::queue_policy policy;
  policy.max_attempts = 3;
  set_policy(policy);
}

void scheduler_harness::pass(duration time)
{
  now += time;
}

void scheduler_harness::step()
{
  scheduler->tick(now);
  for (int i = 0; i < k_max_confirmations && confirm_incarnations(); ++i)
    scheduler->tick(now);
}

// The answers bear no token and were sent before anything else, so nothing follows from their
// lists, which are empty.
bool scheduler_harness::confirm_incarnations()
{
  bool confirmed = false;
  for (const command& each : scheduler->take_commands())
  {
    const auto* const hold = std::get_if<hold_command>(&each);
    if (hold == nullptr || !hold->confirms_incarnation || silent.contains(hold->worker.value))
    {
      collect_command(each, *this);
      continue;
    }
    hold_answer answer;
    answer.worker = hold->worker;
    answer.end = call_end::done;
    answer.born = born;
    answer.clock = clock();
    scheduler->hold_answered(answer, now);
    confirmed = true;
  }
  return confirmed;
}

void scheduler_harness::clear()
{
  starts.clear();
  stops.clear();
  holds.clear();
  paces.clear();
  questions.clear();
}

worker_info scheduler_harness::worker(const std::string& id, std::int64_t cpu_millis)
{
  worker_info info;
  info.id = worker_id(id);
  info.address = {"10.0.0." + std::to_string(id.back()), 80};
  info.zone = "zone";
  info.service = k_service;
  info.rack = "rack";
  info.capacity.cpu_millis = cpu_millis;
  info.capacity.memory_mib = 32768;
  return info;
}

jobs::accepted_job scheduler_harness::job(const std::string& id, std::vector<jobs::step_spec> steps)
{
  jobs::accepted_job job;
  job.id = id;
  job.queue = k_queue;
  job.home = "zone";
  job.spec.payload = "payload";
  job.spec.steps = std::move(steps);
  return job;
}

jobs::step_spec scheduler_harness::step_of(std::uint32_t count, std::int64_t cpu_millis)
{
  jobs::step_spec step;
  step.count = count;
  step.demand.cpu_millis = cpu_millis;
  step.demand.memory_mib = 100;
  step.estimate = std::chrono::milliseconds{1000};
  return step;
}

void scheduler_harness::set_policy(const jobs::queue_policy& policy)
{
  jobs::queue_policy with_service = policy;
  with_service.service = k_service;
  scheduler->set_policies({{k_queue, with_service}});
}

void scheduler_harness::add_worker(const worker_info& info)
{
  scheduler->worker_entry(info, now);
  step();
  answer_hold(info.id.value, {});
  commit_and_step();
  holds.clear();
}

void scheduler_harness::start_job(const std::string& id, const jobs::step_spec& spec)
{
  scheduler->add_job(job(id, {spec}), now);
  step();
  commit_and_step(); // writes the step's begin mark
}

void scheduler_harness::send_first_start(const jobs::step_spec& step)
{
  add_worker(worker("w1"));
  start_job(k_job, step);
  BOOST_TEST_REQUIRE(starts.size() == 1U);
}

worker_clock_time scheduler_harness::clock() const
{
  return std::chrono::duration_cast<milliseconds>(now.time_since_epoch() - k_worker_clock_lag);
}

hold_answer scheduler_harness::lists_of(const std::string& worker, std::vector<listed_run> running,
                                        std::vector<listed_end> ended) const
{
  hold_answer answer;
  answer.worker = worker_id(worker);
  answer.end = call_end::done;
  answer.clock = clock();
  answer.born = born;
  answer.running = std::move(running);
  answer.ended = std::move(ended);
  answer.sent = now;
  answer.token = token;
  return answer;
}

void scheduler_harness::answer_hold(const std::string& worker, std::vector<listed_run> running,
                                    std::vector<listed_end> ended, end_number acknowledged)
{
  hold_answer answer = lists_of(worker, std::move(running), std::move(ended));
  answer.acknowledged = acknowledged;
  scheduler->hold_answered(answer, now);
}

void scheduler_harness::answer_hold_cut_off(const std::string& worker,
                                            std::vector<listed_run> running,
                                            std::vector<listed_end> ended)
{
  hold_answer answer = lists_of(worker, std::move(running), std::move(ended));
  answer.more_ends = true;
  scheduler->hold_answered(answer, now);
}

void scheduler_harness::fail_hold(const std::string& worker, call_end end)
{
  hold_answer answer;
  answer.worker = worker_id(worker);
  answer.end = end;
  answer.sent = now;
  answer.token = token;
  scheduler->hold_answered(answer, now);
}

void scheduler_harness::answer_start(const start_command& request, call_end end)
{
  scheduler->start_answered(
      {request.worker, request.task, request.run, end, clock(), now, request.token}, now);
}

void scheduler_harness::answer_stop(const stop_command& request, call_end end)
{
  scheduler->stop_answered({request.worker, request.task, request.run, end, now, request.token},
                           now);
}

void scheduler_harness::commit()
{
  const commit_batch batch = scheduler->take_commit(1000, now);
  scheduler->token_given(++token);
  scheduler->commit_done(batch, true);
  scheduler->set_authority(now + std::chrono::hours{1}, now);
}

void scheduler_harness::commit_and_step()
{
  commit();
  step();
}

listed_run scheduler_harness::running(const start_command& request)
{
  listed_run run;
  run.task = request.task;
  run.run = request.run;
  return run;
}

listed_end scheduler_harness::ended(end_number number, const start_command& request,
                                    run_outcome how, const std::string& checkpoint)
{
  return {number, request.task, request.run, how, checkpoint};
}

takeover_harness::takeover_harness() : scheduler_harness(k_first_run_after_takeover)
{
  scheduler->set_earlier_owners_lease_end(now + k_earlier_owner_lease_time);
}

jobs::job_progress takeover_harness::begun()
{
  jobs::job_progress progress;
  progress.state = jobs::job_state::active;
  progress.begun[{0, 0, 0}] = "";
  return progress;
}

listed_run takeover_harness::earlier_run()
{
  listed_run run;
  run.task = {k_job, {0, 0, 0}};
  run.run = k_earlier_run;
  return run;
}

void takeover_harness::restore_begun(const std::string& id)
{
  scheduler->restore_job(job(id, {step_of(1)}), begun(), now);
}

void takeover_harness::restore_claim(const std::string& worker, const worker_claim& claim)
{
  scheduler->restore_claim(worker_id(worker), claim, now);
}

void takeover_harness::begin()
{
  scheduler->begin_accounting(now);
  step();
}
} // namespace yardhill::scheduling
