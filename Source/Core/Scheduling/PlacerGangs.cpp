// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Placement of gangs: all members start in the same pass, each with its own capacity, or none does.

#include "Scheduling/Placer.h"

#include <algorithm>
#include <numeric>

#include "Common/EventLog.h"

namespace yardhill::scheduling
{
namespace
{
// Indices of the step's tasks by number of counted losses, highest first. The most suspected
// members choose their workers first, because they need workers on which no other member starts.
std::vector<std::uint32_t> most_suspected_first(const step_record& step)
{
  std::vector<std::uint32_t> order(step.tasks.size());
  std::iota(order.begin(), order.end(), 0U);
  std::stable_sort(order.begin(), order.end(),
                   [&step](std::uint32_t left, std::uint32_t right) {
                     return counted_losses(step.tasks[left].crashes) >
                            counted_losses(step.tasks[right].crashes);
                   });
  return order;
}
} // namespace

// Starts all members in this pass or none. Adds a run for each member first, and removes these runs
// again if one member finds no worker or may not start yet.
void placer::place_gang(const waiting_step& each, time_point now)
{
  job_record& job = *each.job;
  step_record& step = job.cycles()[each.cycle].steps[each.step];
  // A member of an earlier run that has not ended yet would run twice.
  if (!step.all_wait() || waits_for_workspace(job, each.step, step))
    return;
  run_number number = m_state.first_run;
  for (const task_record& task : step.tasks)
  {
    if (m_state.awaits_renewal(task, now))
      return;
    number = std::max(number, task.last_run);
  }
  ++number;
  std::vector<run_record*> members;
  for (const std::uint32_t index : most_suspected_first(step))
  {
    run_record* const member = add_member(each, {each.cycle, each.step, index}, number, now);
    if (member == nullptr)
      break;
    members.push_back(member);
  }
  if (members.size() < step.tasks.size() || !incarnations_confirmed(members, now) ||
      !gang_may_start(members))
  {
    remove_members(members);
    return;
  }
  // All members have to start from the same checkpoint; any member's checkpoint is valid for the
  // whole gang.
  std::string checkpoint;
  for (const task_record& task : step.tasks)
    checkpoint = task.checkpoint.empty() ? checkpoint : task.checkpoint;
  for (task_record& task : step.tasks)
    task.checkpoint = checkpoint;
  for (run_record* member : members)
    start(job, member->place, number, *member->worker, now);
  common::log_decision("gang_started", job.id(),
                       {{"step", each.step}, {"members", members.size()}, {"run", number}});
}

run_record* placer::add_member(const waiting_step& each, const task_place& place, run_number number,
                               time_point now)
{
  job_record& job = *each.job;
  worker_record* const worker = worker_for(job, place, now);
  if (worker == nullptr && suspected(job.task(place).crashes))
    prepare_trial(job, place, now);
  if (worker == nullptr || !begin_mark_written(each, *worker, now))
    return nullptr;
  run_record& run = m_state.add_run(job, place, number, *worker, now);
  m_crashes.mark_trial(run, now);
  return &run;
}

// Resets the members' run number, which was not used: the gang's next attempt has to use the same
// number, because it may already be announced.
void placer::remove_members(const std::vector<run_record*>& members)
{
  for (run_record* const member : members)
  {
    task_record& task = member->job->task(member->place);
    task.last_run = member->number - 1;
    m_state.remove_run(*member);
  }
}

// All workers are asked in the same pass.
bool placer::incarnations_confirmed(const std::vector<run_record*>& members, time_point now)
{
  bool confirmed = true;
  for (const run_record* const member : members)
  {
    if (m_state.incarnation_confirmed(*member->worker, now))
      continue;
    m_state.request_confirmation(*member->worker, now);
    confirmed = false;
    m_confirmation_awaited = true;
  }
  return confirmed;
}

bool placer::gang_may_start(const std::vector<run_record*>& members)
{
  bool startable = true;
  for (const run_record* const member : members)
    startable &=
        m_crashes.may_start(*member->job, member->place, member->number, *member->worker, false);
  return startable;
}
} // namespace yardhill::scheduling
