// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/Placer.h"

#include <algorithm>
#include <tuple>

#include "Common/EventLog.h"

namespace yardhill::scheduling
{
namespace
{
// Data on the worker's own rack outweighs any difference in free room, which is at most 1.
constexpr double k_data_rack_weight = 2.0;
// The worker that the task's next run is announced for, if it still is a choice.
constexpr double k_announced_weight = 8.0;
// A slow worker is the last choice.
constexpr double k_slow_weight = 4.0;

// By which measure the time from a job's acceptance to its first start is told.
common::timing waiting_kind(const job_record& job, const jobs::step_spec& step)
{
  if (step.gang)
    return common::timing::waiting_gang;
  if (step.long_running)
    return common::timing::waiting_service;
  return job.policy().priority == 0 ? common::timing::waiting_interactive
                                    : common::timing::waiting_batch;
}
} // namespace

placer::placer(scheduler_state& state, const zone_chooser& zones, advice_planner& advice,
               reservations& kept, crash_watch& crashes)
    : m_state(state), m_zones(zones), m_advice(advice), m_reservations(kept), m_crashes(crashes)
{
}

void placer::place(time_point now, bool survey)
{
  if (!m_state.may_place(now))
    return;
  std::int64_t free = 0;
  for (const auto& [id, worker] : m_state.workers)
    free += worker->offered() && !worker->suspect ? worker->idle_cpu_millis() : 0;
  m_advice.set_budget(free);
  if (survey)
    avoid_slow_workers(now);
  m_reservations.clear();
  blocked_steps blocked;
  m_looked_at = 0;
  ++m_passes;
  std::vector<waiting_step> steps = in_order(now);
  advise_in_turn(steps, now);
  bool short_of_starts = false;
  if (m_state.starts.bounded())
    std::stable_sort(steps.begin(), steps.end(),
                     [](const waiting_step& left, const waiting_step& right)
                     { return turn_while_paced(left) < turn_while_paced(right); });
  for (const waiting_step& each : steps)
  {
    if (m_state.starts.spent() && !lasts(each))
    {
      short_of_starts = true;
      break;
    }
    if (!its_turn(each, blocked))
    {
      ++blocked[each.job->accepted().queue];
      continue;
    }
    ++m_looked_at;
    if (!serve(each, now))
      ++blocked[each.job->accepted().queue];
  }
  m_state.outlook.pass_ended(short_of_starts, now);
  if (survey)
    place_copies(now);
}

bool placer::lasts(const waiting_step& each)
{
  return each.job->cycles()[each.cycle].steps[each.step].spec->long_running;
}

int placer::turn_while_paced(const waiting_step& each)
{
  if (lasts(each))
    return 0;
  return each.job->known_begun() ? 1 : 2;
}

// The most urgent ones of a queue always have their turn. Of a long backlog the others have it
// once in a while: most of them wait for the same room, and a look at all of them in each pass took
// whole cores, so that nothing was placed in time any more.
bool placer::its_turn(const waiting_step& each, const blocked_steps& blocked) const
{
  const auto found = blocked.find(each.job->accepted().queue);
  const std::size_t before = found == blocked.end() ? 0 : found->second;
  if (before < m_state.options.blocked_steps_a_pass)
    return true;
  return before / m_state.options.backlog_window % m_state.options.backlog_turns ==
         m_passes % m_state.options.backlog_turns;
}

bool placer::serve(const waiting_step& each, time_point now)
{
  const step_record& step = each.job->cycles()[each.cycle].steps[each.step];
  if (step.spec->gang)
    place_gang(each, now);
  else
    place_step(each, now);
  if (step.waiting == 0)
    return true;
  m_reservations.keep_for(*each.job, each.cycle, each.step, now);
  m_advice.want(*each.job, each.cycle, each.step, now);
  return false;
}

bool placer::waiting_step::before(const waiting_step& other) const
{
  const auto urgency = [](const waiting_step& each)
  {
    return std::tuple(each.job->policy().priority, each.prospect, each.job->objective(),
                      std::string_view(each.job->id()), each.cycle, each.step);
  };
  return urgency(*this) < urgency(other);
}

// By priority; within one, jobs that can still be in time, then those that can still earn a part:
// the most urgent first. Otherwise, once some are late, all that follow would be late too.
std::vector<placer::waiting_step> placer::in_order(time_point now) const
{
  std::vector<waiting_step> steps;
  for (const std::string& id : m_state.open)
  {
    job_record& job = *m_state.jobs.at(id);
    for (std::uint32_t c = 0; c < job.cycles().size(); ++c)
    {
      for (std::uint32_t s = 0; s < job.cycles()[c].steps.size(); ++s)
      {
        if (job.cycles()[c].steps[s].waiting > 0 && job.ready(c, s, m_state.wall(now)))
          steps.push_back({&job, c, s, job.prospect(s, now)});
      }
    }
  }
  std::sort(steps.begin(), steps.end(),
            [](const waiting_step& left, const waiting_step& right) { return left.before(right); });
  return steps;
}

bool placer::has_room(const worker_record& worker, const job_record& job,
                      const task_place& place) const
{
  const step_record& step = job.cycles()[place.cycle].steps[place.step];
  if (!worker.foreign.empty() || !room_of(*step.spec).fits_in(worker.free()))
    return false;
  return step.spec->max_tasks_per_worker == 0 ||
         worker.tasks_of(job, place.cycle, place.step) < step.spec->max_tasks_per_worker;
}

// The fullest worker that still has room, so that others keep room for large tasks. For a task that
// may crash it the emptiest one: what runs there is lost with it.
double placer::preference(const worker_record& worker, const step_record& step,
                          const task_record& task, time_point now) const
{
  const double share =
      common::dominant_share(worker.used + room_of(*step.spec), worker.info.capacity);
  const double used = suspected(task.crashes) ? -share : share;
  const bool near = !step.spec->data_rack.empty() && worker.info.rack == step.spec->data_rack;
  const bool announced = task.crashes.announced_on == worker.info.id.value;
  return used + (announced ? k_announced_weight : 0.0) + (near ? k_data_rack_weight : 0.0) -
         (worker.slow_until > now ? k_slow_weight : 0.0);
}

placer::obstacle placer::obstacle_at(const worker_record& worker, const job_record& job,
                                     const task_place& place, time_point now, trials how) const
{
  const step_record& step = job.cycles()[place.cycle].steps[place.step];
  if (!m_state.usable(worker, now))
    return obstacle::unusable;
  if (!step.begun.covers(worker.info.zone))
    return obstacle::other_zone;
  if (!suits(worker, job, step))
    return obstacle::unsuitable;
  if (!has_room(worker, job, place))
    return obstacle::no_room;
  const task_record& task = step.tasks[place.index];
  if (how == trials::kept_apart ? !m_crashes.fit(worker, task, now)
                                : !m_crashes.can_become_fit(worker, task, now))
    return obstacle::unfit_for_trial;
  if (!m_reservations.allows(worker, job, step, now))
    return obstacle::reserved;
  if (m_advice.ticket(job, step, worker.info.id, now) == nullptr)
    return obstacle::no_ticket;
  return obstacle::none;
}

// Where a queue's policy names the workers, only those with a ticket are looked at: a few of many.
worker_record* placer::best_worker(job_record& job, const task_place& place, time_point now,
                                   trials how) const
{
  const step_record& step = job.step(place);
  const task_record& task = job.task(place);
  if (how == trials::kept_apart && m_crashes.postponed(task, now))
    return nullptr;
  worker_record* best = nullptr;
  double best_preference = 0.0;
  const auto consider = [&](worker_record& worker)
  {
    // Most have no room while steps wait.
    if (!has_room(worker, job, place) ||
        obstacle_at(worker, job, place, now, how) != obstacle::none)
      return;
    const double value = preference(worker, step, task, now);
    if (best != nullptr && value <= best_preference)
      return;
    best = &worker;
    best_preference = value;
  };
  if (job.policy().advice)
  {
    for (const auto& [id, ticket] : step.permits.tickets)
    {
      if (!m_advice.in_time(ticket, now))
        continue;
      if (worker_record* const worker = m_state.find_worker(id))
        consider(*worker);
    }
    return best;
  }
  for (const auto& [id, worker] : m_state.workers)
    consider(*worker);
  return best;
}

void placer::note_trial_wanted(job_record& job, const task_place& place, time_point now) const
{
  task_record& task = job.task(place);
  if (m_crashes.postponed(task, now))
  {
    task.trial_wanted.reset();
    return;
  }
  const bool kept = m_crashes.keeps_worker_for(task, now);
  // While a decisive trial waits, there is always a worker that is becoming fit for it.
  if (task.trial_wanted && (kept || !crash_watch::decisive(task)))
    return;
  worker_record* const worker = best_worker(job, place, now, trials::ignored);
  if (worker == nullptr)
    return;
  task.trial_wanted = task.trial_wanted.value_or(now);
  m_crashes.keep_for_trial(*worker, task, now);
}

bool placer::may_begin(const waiting_step& each, const worker_record& worker, time_point now)
{
  job_record& job = *each.job;
  step_record& step = job.cycles()[each.cycle].steps[each.step];
  if (step.begun.mark == begin_mark::none)
    m_state.want_begun(job, step, m_zones.choose(job, each.cycle, each.step, now));
  return step.begun.written_for(worker.info.zone);
}

void placer::leave_small_zone(job_record& job, step_record& step)
{
  if (!job.policy().advice || (!step.permits.asking && !step.permits.permitted.empty()))
    m_state.want_anywhere(job, step);
}

void placer::advise_in_turn(const std::vector<waiting_step>& steps, time_point now)
{
  const waiting_step* longest = nullptr;
  time_point earliest = now - m_state.options.advice_turn;
  for (const waiting_step& each : steps)
  {
    const step_permits& permits = each.job->cycles()[each.cycle].steps[each.step].permits;
    if (!each.job->policy().advice || permits.asking)
      continue;
    const time_point waits_since = std::max(permits.latest_turn, each.job->accepted_at());
    if (waits_since > earliest)
      continue;
    longest = &each;
    earliest = waits_since;
  }
  if (longest != nullptr)
    m_advice.want_in_turn(*longest->job, longest->cycle, longest->step, now);
}

void placer::place_step(const waiting_step& each, time_point now)
{
  job_record& job = *each.job;
  step_record& step = job.cycles()[each.cycle].steps[each.step];
  std::uint32_t started = 0;
  for (std::uint32_t index = 0; index < step.tasks.size() && step.waiting > 0; ++index)
  {
    if (m_state.starts.spent() && !step.spec->long_running)
      break;
    const task_record& task = step.tasks[index];
    if (task.phase != task_phase::waiting || m_state.awaits_renewal(task, now))
      continue;
    const task_place place{each.cycle, each.step, index};
    worker_record* const worker = worker_for(job, place, now);
    if (worker == nullptr && suspected(task.crashes))
    {
      // Others of the step may have a worker for all that.
      note_trial_wanted(job, place, now);
      continue;
    }
    if (worker == nullptr)
      leave_small_zone(job, step);
    if (worker == nullptr || !may_begin(each, *worker, now))
      break;
    const run_number number = std::max(task.last_run, m_state.first_run) + 1;
    if (!m_crashes.may_start(job, place, number, *worker, false))
      continue;
    start(job, place, number, *worker, now);
    ++started;
  }
  if (started > 0)
    common::log_request("tasks_started", job.id(),
                        {{"step", each.step},
                         {"started", started},
                         {"still_waiting", step.waiting},
                         {"since_accepted_ms", now - job.accepted_at()},
                         {"before_objective_ms", job.objective() - now}});
}

void placer::avoid_slow_workers(time_point now)
{
  for (const auto& [id, worker] : m_state.workers)
  {
    const auto late =
        std::count_if(worker->runs.begin(), worker->runs.end(),
                      [this, now](const auto& each) { return m_state.overdue(*each.second, now); });
    if (static_cast<std::size_t>(late) < m_state.options.overdue_to_avoid)
      continue;
    if (worker->slow_until <= now)
      common::log_process("worker_slow", {{"worker", id.value}, {"overdue_runs", late}});
    worker->slow_until = now + m_state.options.slow_pause;
  }
}

bool placer::deserves_copy(const run_record& run, time_point now) const
{
  if (!run.spec().speculative || run.spec().gang || run.spec().long_running ||
      run.phase == run_phase::stopping || run.job->ended() ||
      run.job->task(run.place).runs.size() > 1)
    return false;
  const worker_record& worker = *run.worker;
  // A copy of what may have crashed its worker would take the next one before that is known.
  const jobs::crash_history& crashes = run.job->task(run.place).crashes;
  if (suspected(crashes) || (worker.suspect && crashes.any()))
    return false;
  if (worker.suspect && now - worker.silent_since >= m_state.options.copy_silent)
    return true;
  return m_state.overdue(run, now);
}

void placer::place_copies(time_point now)
{
  // Another owner may have heard how the first run ended.
  if (!m_state.surely_owner(now))
    return;
  std::vector<run_record*> late;
  for (const auto& [id, worker] : m_state.workers)
  {
    for (const auto& [task, run] : worker->runs)
    {
      if (deserves_copy(*run, now))
        late.push_back(run.get());
    }
  }
  for (const run_record* run : late)
  {
    if (m_state.starts.spent())
      return;
    job_record& job = *run->job;
    const task_place place = run->place;
    worker_record* const worker = worker_for(job, place, now);
    if (worker == nullptr || worker == run->worker ||
        !may_begin({&job, place.cycle, place.step}, *worker, now))
    {
      leave_small_zone(job, job.step(place));
      m_advice.want(job, place.cycle, place.step, now);
      continue;
    }
    const run_number number = job.task(place).last_run + 1;
    if (!m_crashes.may_start(job, place, number, *worker, run->worker->suspect))
      continue;
    common::log_request("copy_started", job.id(),
                        {{"step", place.step},
                         {"task", place.index},
                         {"beside", run->worker->info.id.value},
                         {"silent", run->worker->suspect},
                         {"running_ms", now - run->begun}});
    m_state.metrics.add(common::retry_reason::worker_lost);
    start(job, place, number, *worker, now);
  }
}

void placer::start(job_record& job, const task_place& place, run_number number,
                   worker_record& worker, time_point now)
{
  const auto known = worker.runs.find({job.id(), place});
  run_record& run = known == worker.runs.end() ? m_state.add_run(job, place, number, worker, now)
                                               : *known->second;
  const std::string* const ticket = m_advice.ticket(job, job.step(place), worker.info.id, now);
  m_crashes.mark_trial(run, now);
  job.task(place).trial_wanted.reset();
  worker.latest_start = now;
  run.last_sent = now;
  run.sends = 1;
  run.start_expires = m_state.extended_lease(worker, now);
  run.ticket = ticket == nullptr ? std::string() : *ticket;
  run.ticket_over = m_advice.ticket_over(job, job.step(place), worker.info.id);
  m_state.starts.take();
  m_state.metrics.add(common::counter::attempts_started);
  if (job.first_start())
  {
    m_state.outlook.first_start(job.policy().priority, now);
    m_state.metrics.record(waiting_kind(job, *job.step(place).spec), now - job.accepted_at());
  }
  m_state.commands.emplace_back(start_command{
      worker.info.id, worker.info.address, run.ref(), number, job.accepted().spec.payload,
      m_state.start_lease(run, now), job.task(place).checkpoint, run.ticket, worker.token});
}
} // namespace yardhill::scheduling
