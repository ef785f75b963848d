// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/SchedulerHarness.h"

#include <utility>

namespace yardhill::scheduling
{
namespace
{
constexpr const char* k_queue = "queue";
constexpr const char* k_service = "service";
constexpr std::chrono::seconds k_clock_behind{30};

void sort_in(const command& what, scheduler_harness& harness)
{
  if (const auto* start = std::get_if<start_command>(&what))
    harness.starts.push_back(*start);
  else if (const auto* stop = std::get_if<stop_command>(&what))
    harness.stops.push_back(*stop);
  else if (const auto* hold = std::get_if<hold_command>(&what))
    harness.holds.push_back(*hold);
  else if (const auto* pace = std::get_if<pace_command>(&what))
    harness.paces.push_back(*pace);
  else if (const auto* advice = std::get_if<advice_command>(&what))
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
  for (const command& each : scheduler->take_commands())
    sort_in(each, *this);
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
  commit();
  step();
  holds.clear();
}

void scheduler_harness::start_job(const std::string& id, const jobs::step_spec& spec)
{
  scheduler->add_job(job(id, {spec}), now);
  step();
  commit(); // that the step has begun
  step();
}

worker_clock_time scheduler_harness::clock() const
{
  return std::chrono::duration_cast<milliseconds>(now.time_since_epoch() - k_clock_behind);
}

void scheduler_harness::answer_hold(const std::string& worker, std::vector<listed_run> running,
                                    std::vector<listed_end> ended, end_number acknowledged)
{
  hold_answer answer;
  answer.worker = worker_id(worker);
  answer.end = call_end::done;
  answer.clock = clock();
  answer.acknowledged = acknowledged;
  answer.running = std::move(running);
  answer.ended = std::move(ended);
  answer.sent = now;
  scheduler->hold_answered(answer, now);
}

void scheduler_harness::answer_start(const start_command& order, call_end end)
{
  scheduler->start_answered({order.worker, order.task, order.run, end, clock(), now}, now);
}

void scheduler_harness::answer_stop(const stop_command& order, call_end end)
{
  scheduler->stop_answered({order.worker, order.task, order.run, end, now}, now);
}

void scheduler_harness::commit()
{
  const commit_batch batch = scheduler->take_commit(1000, now);
  scheduler->commit_done(batch, true);
  scheduler->set_authority(now + std::chrono::hours{1}, now);
}

listed_run scheduler_harness::running(const start_command& order)
{
  listed_run run;
  run.task = order.task;
  run.run = order.run;
  return run;
}

listed_end scheduler_harness::ended(end_number number, const start_command& order, run_end how,
                                    const std::string& checkpoint)
{
  return {number, order.task, order.run, how, checkpoint};
}
} // namespace yardhill::scheduling
