// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/AdvisedCell.h"

#include <algorithm>
#include <utility>

namespace yardhill::scheduling
{
namespace
{
using std::chrono::milliseconds;

constexpr milliseconds k_ticket_validity{2000};
} // namespace

advised_cell::advised_cell() : permits([](const std::string&, const worker_id&) { return true; })
{
  add_queue(k_long_calls, policy_with(long_calls()));
  add_queue(k_short_calls, policy_with(short_calls()));
  add_queue(k_no_advice, policy_with(std::nullopt));
  scheduler->set_advice_slots({2, 2});
}

void advised_cell::add_workers(int count, std::int64_t cpu_millis)
{
  for (int i = 0; i < count; ++i)
  {
    const int number = 100 + static_cast<int>(m_workers.size());
    worker_info info = worker("w" + std::to_string(number), cpu_millis);
    info.address = {"10.0.1." + std::to_string(number), 80};
    info.labels = {info.id.value};
    m_workers[info.id] = info;
    add_worker(info);
  }
  clear();
}

void advised_cell::add_queue(const std::string& name, const jobs::queue_policy& policy)
{
  m_queues[name] = policy;
  scheduler->set_policies(m_queues);
}

jobs::queue_policy
advised_cell::policy_with(std::optional<jobs::queue_policy::advice_policy> advice)
{
  jobs::queue_policy policy;
  policy.max_attempts = 3;
  policy.latency_target = std::chrono::hours{1};
  policy.service = k_service;
  policy.advice = advice;
  return policy;
}

jobs::queue_policy::advice_policy advised_cell::long_calls()
{
  return {milliseconds{560}, milliseconds{8}, k_ticket_validity};
}

jobs::queue_policy::advice_policy advised_cell::short_calls()
{
  return {milliseconds{10}, milliseconds{1}, k_ticket_validity};
}

jobs::step_spec advised_cell::long_running_step(std::uint32_t count, std::int64_t cpu_millis)
{
  jobs::step_spec step = step_of(count, cpu_millis);
  step.long_running = true;
  return step;
}

void advised_cell::submit(const std::string& id, const std::string& queue,
                          const jobs::step_spec& step)
{
  submit_accepted(id, queue, step, now);
}

void advised_cell::submit_late(const std::string& id, const std::string& queue,
                               const jobs::step_spec& step)
{
  submit_accepted(id, queue, step, now - std::chrono::hours{24});
}

void advised_cell::submit_accepted(const std::string& id, const std::string& queue,
                                   const jobs::step_spec& step, time_point accepted)
{
  jobs::accepted_job submitted = job(id, {step});
  submitted.queue = queue;
  submitted.accepted_at =
      jobs::wall_time(std::chrono::duration_cast<milliseconds>(accepted.time_since_epoch()));
  scheduler->add_job(submitted, now);
}

bool advised_cell::play_until(const std::function<bool()>& condition, milliseconds limit)
{
  const time_point end = now + limit;
  while (now < end && !condition())
    advance();
  return condition();
}

void advised_cell::play(milliseconds time)
{
  play_until([] { return false; }, time);
}

void advised_cell::advance()
{
  pass(k_tick);
  reply_to_due_calls();
  for (const auto& [id, info] : m_workers)
    report_runs(id);
  clear();
  commit_and_step();
  carry_out_starts_and_stops();
  for (const advice_command& each : questions)
  {
    m_pending.push_back({each, now + each.expected});
    calls.push_back({each.step, each.workers, now});
    if (on_call)
      on_call(calls.back());
  }
}

void advised_cell::carry_out_starts_and_stops()
{
  for (const start_command& each : starts)
  {
    m_runs[each.worker].push_back(each);
    answer_start(each, call_end::done);
  }
  for (const stop_command& each : stops)
  {
    answer_stop(each, call_end::done);
    const std::vector<start_command> runs = m_runs[each.worker];
    const auto found = std::find_if(runs.begin(), runs.end(),
                                    [&each](const start_command& run)
                                    { return run.task == each.task && run.run == each.run; });
    if (found != runs.end())
      end_run(*found, run_outcome::stopped);
  }
}

void advised_cell::reply_to_due_calls()
{
  for (const pending_call& each : std::exchange(m_pending, {}))
  {
    if (each.due > now)
    {
      m_pending.push_back(each);
      continue;
    }
    advice_answer reply{
        each.call.step, each.call.workers, !replies_lost, {}, k_ticket_validity, now};
    for (const worker_id& worker : each.call.workers)
    {
      if (!replies_lost && permits(each.call.step.job, worker))
        reply.permitted.push_back({worker, "ticket"});
    }
    scheduler->advice_answered(reply, now);
  }
}

void advised_cell::report_runs(const worker_id& worker, std::vector<listed_end> ends)
{
  std::vector<listed_run> listed;
  for (const start_command& each : m_runs[worker])
    listed.push_back(running(each));
  answer_hold(worker.value, std::move(listed), std::move(ends));
}

void advised_cell::drain(const worker_id& worker)
{
  worker_info& info = m_workers.at(worker);
  info.draining = true;
  scheduler->worker_entry(info, now);
}

void advised_cell::end_run(const start_command& run, run_outcome outcome)
{
  std::erase_if(m_runs[run.worker], [&run](const start_command& each)
                { return each.task == run.task && each.run == run.run; });
  report_runs(run.worker, {ended(++m_ends[run.worker], run, outcome)});
}

std::vector<start_command> advised_cell::runs_of(const std::string& job) const
{
  std::vector<start_command> found;
  for (const auto& [worker, runs] : m_runs)
    std::copy_if(runs.begin(), runs.end(), std::back_inserter(found),
                 [&job](const start_command& each) { return each.task.job == job; });
  return found;
}

std::vector<advised_cell::advice_call> advised_cell::calls_for(const std::string& job) const
{
  std::vector<advice_call> found;
  std::copy_if(calls.begin(), calls.end(), std::back_inserter(found),
               [&job](const advice_call& each) { return each.step.job == job; });
  return found;
}
} // namespace yardhill::scheduling
