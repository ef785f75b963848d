// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/SchedulerState.h"

#include <algorithm>
#include <utility>

#include "Common/EventLog.h"

namespace yardhill::scheduling
{
job_record* scheduler_state::find_job(const std::string& id)
{
  const auto found = jobs.find(id);
  return found == jobs.end() ? nullptr : found->second.get();
}

worker_record* scheduler_state::find_worker(const worker_id& id)
{
  const auto found = workers.find(id);
  return found == workers.end() ? nullptr : found->second.get();
}

run_record* scheduler_state::find_run(const worker_id& worker, const task_ref& task, run_number run)
{
  worker_record* const record = find_worker(worker);
  if (record == nullptr)
    return nullptr;
  const auto found = record->runs.find(task);
  if (found == record->runs.end() || found->second->number != run)
    return nullptr;
  return found->second.get();
}

void scheduler_state::note_order(worker_record& worker, bool answered, time_point now)
{
  worker.note_order(answered, options.unanswered_to_suspect, now);
  if (answered)
  {
    worker.heard_at = now;
    clear_zone_silence(worker);
    return;
  }
  zone_silence& silence = zone_silences[worker.info.zone];
  silence.latest = now;
  if (++silence.unanswered == options.unanswered_to_leave_zone)
    common::log_process("zone_silent", {{"zone", worker.info.zone}});
}

duration scheduler_state::request_retry(unsigned sends) const
{
  if (worker_request_timeout <= options.request_retry)
    return options.request_retry;
  const unsigned doublings = std::min(std::max(sends, 1U) - 1, options.max_retry_doublings);
  return worker_request_timeout * (1U << doublings);
}

worker_clock_time scheduler_state::extend_worker_lease(worker_record& worker, time_point now) const
{
  worker.lease_end = std::max(worker.lease_end, now + options.max_lease());
  return worker.clock_at(now) + std::chrono::duration_cast<milliseconds>(options.task_lease);
}

// If a task may run in copies, one run may be done while the start of another is in flight. Such a
// start therefore carries a short lease: if it arrives late, the worker rejects it, unless a hold
// has granted the worker a longer lease. The next hold extends the lease.
worker_clock_time scheduler_state::start_lease_end(const run_record& run, time_point now) const
{
  if (!run.spec().speculative)
    return run.start_expires;
  return std::min(run.start_expires, run.worker->clock_at(now) +
                                         std::chrono::duration_cast<milliseconds>(
                                             options.start_validity_at(worker_request_timeout)));
}

bool scheduler_state::incarnation_confirmed(const worker_record& worker, time_point now) const
{
  return !worker.incarnation_uncertain &&
         worker.identified_at >=
             now - std::max(options.max_confirmation_age, worker_request_timeout);
}

void scheduler_state::request_confirmation(worker_record& worker, time_point now)
{
  if (worker.confirmation_wanted_at)
    return;
  worker.confirmation_wanted_at = now;
  worker.hold_requested = true;
}

bool scheduler_state::usable(const worker_record& worker, time_point now) const
{
  if (worker.unresponsive || worker.avoid_until > now)
    return false;
  if (worker.confirmation_wanted_at &&
      now - *worker.confirmation_wanted_at >=
          std::max(options.confirmation_patience, 2 * request_round_trip))
    return false;
  const auto silence = zone_silences.find(worker.info.zone);
  return silence == zone_silences.end() ||
         silence->second.unanswered < options.unanswered_to_leave_zone ||
         now - silence->second.latest > options.zone_retry;
}

bool scheduler_state::overdue(const run_record& run, time_point now) const
{
  if (run.spec().long_running || run.spec().uses_idle_cpu || run.spec().estimate.count() <= 0)
    return false;
  const duration longest = runtimes.longest(run.job->accepted().queue, run.spec().estimate);
  return now - run.begun > speeds.time_on(run.worker->info.id, longest);
}

jobs::wall_time scheduler_state::wall(time_point now) const
{
  return jobs::wall_time(
      std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()) +
      wall_clock_offset);
}

bool scheduler_state::within_workspace_limit(const job_record& job, const jobs::step_spec& step)
{
  const workspace_account* const account = job.account();
  if (account == nullptr)
    return true;
  return step.gang ? account->admits(common::scaled(step.demand, step.count), false)
                   : account->admits(step.demand, true);
}

void scheduler_state::request_begin_mark(const job_record& job, step_record& step,
                                         const std::string& zone)
{
  if (step.begun.mark != begin_mark::none)
    return;
  step.begun = {begin_mark::wanted, zone, begin_mark::none};
  mark_dirty(job);
}

void scheduler_state::request_begin_mark_in_all_zones(const job_record& job, step_record& step)
{
  if (step.begun.mark == begin_mark::none || step.begun.anywhere())
    return;
  step.begun.all_zones_mark = begin_mark::wanted;
  place_again = true;
  mark_dirty(job);
}

run_record& scheduler_state::add_run(job_record& job, const task_place& place, run_number number,
                                     worker_record& worker, time_point now)
{
  auto run = std::make_unique<run_record>();
  run->job = &job;
  run->place = place;
  run->number = number;
  run->worker = &worker;
  run->room = required_resources(*job.step(place).spec);
  run->begun = now;
  run->checkpoint = job.task(place).checkpoint;
  worker.used += run->room;
  if (workspace_account* const account = job.account())
    account->running += run->spec().demand;
  task_record& task = job.task(place);
  task.last_run = std::max(task.last_run, number);
  task.runs.push_back(run.get());
  if (task.phase != task_phase::done)
    job.set_phase(place, task_phase::active);
  if (job.state() == jobs::job_state::queued)
  {
    job.set_state(jobs::job_state::active);
    mark_dirty(job);
  }
  return *(worker.runs[run->ref()] = std::move(run));
}

void scheduler_state::remove_run(run_record& run)
{
  job_record& job = *run.job;
  const task_place place = run.place;
  task_record& task = job.task(place);
  task.runs.erase(std::remove(task.runs.begin(), task.runs.end(), &run), task.runs.end());
  if (task.phase == task_phase::active && task.runs.empty())
    job.set_phase(place, task_phase::waiting);
  worker_record& worker = *run.worker;
  worker.used -= run.room;
  if (workspace_account* const account = job.account())
    account->running -= run.spec().demand;
  if (worker.trial == &run)
  {
    worker.trial = nullptr;
    worker.trial_until = worker.isolated_until = time_point{};
  }
  worker.runs.erase(run.ref());
  place_again = true;
}

void scheduler_state::request_stop(run_record& run, time_point now)
{
  if (run.phase == run_phase::stopping && run.last_sent + request_retry(1) > now)
    return;
  run.phase = run_phase::stopping;
  run.last_sent = now;
  if (may_act(now))
    commands.emplace_back(stop_command{run.worker->info.id, run.worker->info.address, run.ref(),
                                       run.number, run.worker->token});
}

void scheduler_state::end_job(job_record& job, jobs::job_state final_state, time_point now)
{
  if (job.ended())
    return;
  job.set_state(final_state);
  mark_dirty(job);
  open.erase(job.id());
  common::log_decision("job_ended", job.id(),
                       {{"state", jobs::to_text(final_state)},
                        {"queue", job.accepted().queue},
                        {"after_ms", now - job.accepted_at()},
                        {"before_objective_ms", job.objective() - now}});
  for (cycle_record& cycle : job.cycles())
  {
    for (step_record& step : cycle.steps)
    {
      for (task_record& task : step.tasks)
      {
        for (run_record* run : task.runs)
          request_stop(*run, now);
      }
    }
  }
}

void scheduler_state::drop_tickets(const worker_id& worker)
{
  for (const std::string& id : open)
  {
    for (cycle_record& cycle : jobs.at(id)->cycles())
    {
      for (step_record& step : cycle.steps)
      {
        step.permits.tickets.erase(worker);
        step.permits.permitted.erase(worker);
      }
    }
  }
}

void scheduler_state::supersede_token(worker_record& worker) const
{
  worker.token_outdated = newest_token <= worker.token;
  if (worker.token_outdated)
    return;
  worker.token = newest_token;
  // A hold that is waiting at the worker carries the earlier token, so its lists will be ignored.
  worker.hold_requested |= !worker.unresponsive;
}

// If the call's token was not the latest one for this worker, this owner has given the worker a
// newer one itself: the call was late, which does not show that there is another owner.
void scheduler_state::record_fenced_reply(const worker_id& worker, fencing_token token)
{
  const worker_record* const record = find_worker(worker);
  fenced |= token >= (record == nullptr ? newest_token : record->token);
}

void scheduler_state::remove_lost_runs(worker_record& worker, lost_runs which, const char* why)
{
  std::vector<run_record*> lost;
  for (const auto& [task, run] : worker.runs)
  {
    if (which == lost_runs::all || !run->start_may_be_in_flight())
      lost.push_back(run.get());
  }
  for (run_record* const each : lost)
  {
    run_record& run = *each;
    common::log_request("run_lost", run.job->id(),
                        {{"step", run.place.step},
                         {"task", run.place.index},
                         {"run", run.number},
                         {"worker", worker.info.id.value},
                         {"lived_ms", std::max(duration{0}, worker.heard_at - run.begun)},
                         {"why", why}});
    metrics.add(common::retry_reason::worker_lost);
    task_record& task = run.job->task(run.place);
    task.lost = true;
    if (!run.checkpoint.empty())
      task.checkpoint = run.checkpoint;
    remove_run(run);
  }
  worker.foreign.clear();
}
} // namespace yardhill::scheduling
