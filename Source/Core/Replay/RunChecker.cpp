// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Replay/RunChecker.h"

#include <algorithm>
#include <utility>

#include "Common/CellConfig.h"
#include "Replay/WorkerModel.h"

namespace yardhill::replay
{
void run_checker::fail(std::string message)
{
  if (!m_failure)
    m_failure = std::move(message);
}

std::size_t run_checker::starts_of(const task_id& task) const
{
  const auto found = m_runs.find(task);
  return found == m_runs.end() ? 0 : found->second.starts;
}

void run_checker::sent(std::uint64_t number, request_record request)
{
  if (!request.task.empty())
  {
    run_state& run = m_runs[request.task];
    request.starts_before = run.starts;
    ++run.open_requests;
    run.requested = true;
  }
  m_requests.emplace(number, std::move(request));
}

void run_checker::answered(std::uint64_t number, const answer& reply, time_point now)
{
  request_record& request = m_requests.at(number);
  if (request.reply)
  {
    fail("request " + std::to_string(number) + " was answered twice");
    return;
  }
  request.reply = reply;
  request.answered = now;
  if (request.task.empty())
    request.task = reply.task;
  run_state& run = m_runs[request.task];
  if (request.keyed)
    --run.open_requests;
  run.requested = true;
  const bool is_refusal = reply.result == outcome::refused;
  run.only_refused = run.only_refused && is_refusal;
  if (is_refusal && run.open_requests == 0 && run.starts > request.starts_before)
    fail(request.task.value + " was refused (" + std::string(to_text(reply.reason)) +
         ") but had been started");
  if (reply.result == outcome::done)
    check_result(request, reply);
}

void run_checker::check_result(const request_record& request, const answer& reply)
{
  run_plan plan;
  plan.bytes = request.bytes;
  plan.seed = request.payload;
  std::string expected;
  for (std::uint32_t member = 0; member < request.members; ++member)
    expected += result_of(plan);
  if (reply.task != request.task || reply.body != expected)
    fail(request.task.value + " was answered with another result than its own");
}

void run_checker::instance_died(const std::string& name)
{
  for (auto& [number, request] : m_requests)
  {
    if (request.via != name || request.reply || request.instance_lost)
      continue;
    request.instance_lost = true;
    // The outcome of this request is unknown, so the other answers do not prove that the task
    // was not run.
    m_runs[request.task].only_refused = false;
  }
}

void run_checker::started(const worker_id& worker, const attempt_id& id, bool repeatable,
                          time_point now)
{
  run_state& run = m_runs[id.task];
  ++run.starts;
  run.first_start = std::min(run.first_start, now);
  const auto [position, inserted] = run.running.try_emplace(id.member, worker);
  if (!inserted)
    fail(to_text(id) + " was started on " + worker.value + " while running on " +
         position->second.value + " at " + std::to_string(now.time_since_epoch().count()));
  if (!repeatable && run.starts > 1)
    fail(id.task.value + " is not repeatable and was started twice");
  if (run.requested && run.open_requests == 0 && run.only_refused && !id.task.value.empty() &&
      id.task.value.find('~') == std::string::npos)
    fail(id.task.value + " was started after every caller was told that it was not run");
}

void run_checker::ended(const worker_id& worker, const attempt_id& id, attempt_result result)
{
  run_state& run = m_runs[id.task];
  run.done += result == attempt_result::done ? 1 : 0;
  std::map<std::uint32_t, worker_id>& running = run.running;
  const auto position = running.find(id.member);
  if (position != running.end() && position->second == worker)
    running.erase(position);
}

void run_checker::worker_restarted(const worker_id& worker)
{
  for (auto& [task, run] : m_runs)
    std::erase_if(run.running, [&worker](const auto& entry) { return entry.second == worker; });
}

void run_checker::overcommitted(const worker_id& worker)
{
  fail(worker.value + " was given more than it has");
}

time_point run_checker::first_start_of(const task_id& task) const
{
  const auto found = m_runs.find(task);
  return found == m_runs.end() ? k_never : found->second.first_start;
}

std::size_t run_checker::running_members(const workload_id& workload) const
{
  std::size_t sum = 0;
  for (const auto& [task, run] : m_runs)
  {
    if (workload_of(task) == workload)
      sum += run.running.size();
  }
  return sum;
}

void run_checker::check_end()
{
  for (const auto& [number, request] : m_requests)
  {
    if (!request.reply && !request.instance_lost)
      fail("request " + std::to_string(number) + " for " + request.task.value +
           " was never answered");
    const bool promised = request.reply && request.reply->result == outcome::accepted &&
                          request.reply->durability == "table";
    // A task also ends when all of its attempts have failed.
    constexpr std::size_t max_attempts = 3;
    const run_state& run = m_runs[request.task];
    if (promised && run.done == 0 && run.starts < max_attempts)
      fail(request.task.value + " was accepted for good and never ran to its end");
  }
}

void run_checker::record_config_version(const std::string& instance, std::uint64_t incarnation,
                                        std::uint64_t version)
{
  std::uint64_t& highest = m_config_versions[{instance, incarnation}];
  if (version < highest)
    fail(instance + " went back from configuration " + std::to_string(highest) + " to " +
         std::to_string(version));
  highest = version;
}
} // namespace yardhill::replay
