// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// How gangs are placed: all members at once, each with room of its own, or none.

#include "Scheduling/Placer.h"

#include <algorithm>
#include <numeric>

#include "Common/EventLog.h"

namespace yardhill::scheduling
{
namespace
{
// The members of a gang by how much they are suspected of crashing workers: the most suspected ones
// need workers on which no other member begins.
std::vector<std::uint32_t> suspects_first(const step_record& step)
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

// All members start in one pass or none does.
void placer::place_gang(const waiting_step& each, time_point now)
{
  job_record& job = *each.job;
  step_record& step = job.cycles()[each.cycle].steps[each.step];
  // Members of an earlier run that have not ended yet would be a second run of the same task.
  if (!step.all_wait())
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
  for (const std::uint32_t index : suspects_first(step))
  {
    run_record* const member = add_member(each, {each.cycle, each.step, index}, number, now);
    if (member == nullptr)
      break;
    members.push_back(member);
  }
  if (members.size() < step.tasks.size() || !gang_may_start(members))
  {
    take_back(members);
    return;
  }
  // Any member's checkpoint serves for all; all must bring the same one.
  std::string checkpoint;
  for (const task_record& task : step.tasks)
    checkpoint = task.checkpoint.empty() ? checkpoint : task.checkpoint;
  for (task_record& task : step.tasks)
    task.checkpoint = checkpoint;
  for (run_record* member : members)
    start(job, member->place, number, *member->worker, now);
  common::log_request("gang_started", job.id(),
                      {{"step", each.step}, {"members", members.size()}, {"run", number}});
}

run_record* placer::add_member(const waiting_step& each, const task_place& place, run_number number,
                               time_point now)
{
  job_record& job = *each.job;
  worker_record* const worker = worker_for(job, place, now);
  if (worker == nullptr && suspected(job.task(place).crashes))
    note_trial_wanted(job, place, now);
  if (worker == nullptr || !may_begin(each, *worker, now))
    return nullptr;
  run_record& run = m_state.add_run(job, place, number, *worker, now);
  m_crashes.mark_trial(run, now);
  return &run;
}

// Their number was not used: the gang's next try has it again, as it may have been announced.
void placer::take_back(const std::vector<run_record*>& members)
{
  for (run_record* const member : members)
  {
    task_record& task = member->job->task(member->place);
    task.last_run = member->number - 1;
    m_state.remove_run(*member);
  }
}

bool placer::gang_may_start(const std::vector<run_record*>& members)
{
  bool all = true;
  for (const run_record* const member : members)
    all &= m_crashes.may_start(*member->job, member->place, member->number, *member->worker, false);
  return all;
}
} // namespace yardhill::scheduling
