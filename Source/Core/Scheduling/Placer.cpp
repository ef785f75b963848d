// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/Placer.h"

#include <algorithm>
#include <array>
#include <tuple>

#include "Common/EventLog.h"

namespace yardhill::scheduling
{
namespace
{
// Score bonus for a worker on the rack that holds the step's data. It exceeds any difference in
// worker utilization (at most 1) and speed (at most 0.9) together.
constexpr double k_data_rack_weight = 2.0;
// Score bonus for the worker for which the task's next run is already announced in the job's row.
// It exceeds all other terms, so that worker is chosen whenever it is still possible.
constexpr double k_announced_weight = 8.0;
// Score penalty for a slow worker, so that it is chosen only if no other worker can take the task.
constexpr double k_slow_weight = 4.0;

// The metric that records the time from a job's acceptance to its first start.
common::timing wait_timing(const job_record& job, const jobs::step_spec& step)
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
               reservations& reserved, reservation_planner& planner, crash_watch& crashes,
               const start_rules& rules)
    : m_state(state),
      m_zones(zones),
      m_advice(advice),
      m_reservations(reserved),
      m_reservation_planner(planner),
      m_crashes(crashes),
      m_rules(rules)
{
}

void placer::place(time_point now, bool survey)
{
  if (!m_state.may_place(now))
    return;
  m_advice.begin_pass(free_capacity_by_service());
  if (survey)
    mark_slow_workers(now);
  blocked_steps blocked_by_queue;
  m_steps_examined = 0;
  m_confirmation_awaited = false;
  ++m_passes;
  std::vector<waiting_step> steps = sorted_waiting_steps(now);
  // Before the reservations of the previous pass are dropped, since the requests observe them.
  request_overdue_advice(steps, now);
  m_reservations.clear();
  m_advice.begin_requests_in_order();
  bool short_of_starts = false;
  if (m_state.starts.bounded())
    std::stable_sort(steps.begin(), steps.end(),
                     [](const waiting_step& left, const waiting_step& right)
                     { return paced_rank(left) < paced_rank(right); });
  for (const waiting_step& each : steps)
  {
    if (m_state.starts.spent() && !is_long_running(each))
    {
      short_of_starts = true;
      break;
    }
    if (!due_in_this_pass(each, blocked_by_queue))
    {
      ++blocked_by_queue[each.job->accepted().queue];
      continue;
    }
    ++m_steps_examined;
    if (!place_or_reserve(each, now))
      ++blocked_by_queue[each.job->accepted().queue];
  }
  // A pass in which starts waited for confirmations does not show whether the budget suffices.
  if (short_of_starts || !m_confirmation_awaited || !m_state.starts.bounded())
    m_state.outlook.record_pass(short_of_starts, now);
  if (survey)
    place_copies(now);
}

std::map<std::string, advice_planner::service_capacity> placer::free_capacity_by_service() const
{
  std::map<std::string, advice_planner::service_capacity> by_service;
  for (const auto& [id, worker] : m_state.workers)
  {
    if (!worker->offered() || worker->unresponsive)
      continue;
    advice_planner::service_capacity& capacity = by_service[worker->info.service];
    capacity.idle_cpu_millis += worker->idle_cpu_millis();
    capacity.largest_free = common::largest(capacity.largest_free, worker->free());
  }
  return by_service;
}

bool placer::is_long_running(const waiting_step& each)
{
  return each.job->cycles()[each.cycle].steps[each.step].spec->long_running;
}

int placer::paced_rank(const waiting_step& each)
{
  if (is_long_running(each))
    return 0;
  return each.job->known_begun() ? 1 : 2;
}

// The most urgent blocked steps of each queue are tried in every pass. The rest of a long backlog
// is tried in rotation, one window of steps per pass: most of these steps wait for the same
// capacity, and trying all of them in each pass took whole cores, so that nothing was placed in
// time.
bool placer::due_in_this_pass(const waiting_step& each, const blocked_steps& blocked_by_queue) const
{
  const auto found = blocked_by_queue.find(each.job->accepted().queue);
  const std::size_t blocked_before = found == blocked_by_queue.end() ? 0 : found->second;
  if (blocked_before < m_state.options.blocked_steps_per_pass)
    return true;
  return blocked_before / m_state.options.backlog_window %
             m_state.options.backlog_rotation_passes ==
         m_passes % m_state.options.backlog_rotation_passes;
}

bool placer::place_or_reserve(const waiting_step& each, time_point now)
{
  step_record& step = each.job->cycles()[each.cycle].steps[each.step];
  if (step.spec->gang)
    place_gang(each, now);
  else
    place_step(each, now);
  if (step.waiting == 0 || waits_for_workspace(*each.job, each.step, step))
    return true;
  m_reservation_planner.reserve_for(*each.job, each.cycle, each.step, now);
  m_advice.want(*each.job, each.cycle, each.step, now);
  return false;
}

bool placer::waiting_step::before(const waiting_step& other) const
{
  const auto urgency = [](const waiting_step& each)
  {
    return std::tuple(each.job->beyond_share(), each.job->policy().priority, each.prospect,
                      each.job->objective(), std::string_view(each.job->id()), each.cycle,
                      each.step);
  };
  return urgency(*this) < urgency(other);
}

// Jobs beyond their workspaces' shares come last: a workspace that sends more than its share does
// not delay others. The rest is sorted by priority; within a priority, jobs that can still meet
// their objective come before late ones that are still worth part of their credit, and those before
// worthless ones; then by objective, the earliest first. If late jobs came first, all jobs behind
// them would become late too.
std::vector<placer::waiting_step> placer::sorted_waiting_steps(time_point now) const
{
  std::vector<waiting_step> steps;
  for (const std::string& id : m_state.open)
  {
    job_record& job = *m_state.jobs.at(id);
    for (std::uint32_t c = 0; c < job.cycles().size(); ++c)
    {
      for (std::uint32_t s = 0; s < job.cycles()[c].steps.size(); ++s)
      {
        step_record& step = job.cycles()[c].steps[s];
        if (step.waiting > 0 && job.ready(c, s, m_state.wall(now)) &&
            !waits_for_workspace(job, s, step))
          steps.push_back({&job, c, s, job.prospect(s, now)});
      }
    }
  }
  std::sort(steps.begin(), steps.end(),
            [](const waiting_step& left, const waiting_step& right) { return left.before(right); });
  return steps;
}

bool placer::waits_for_workspace(const job_record& job, std::uint32_t index, step_record& step)
{
  if (scheduler_state::within_workspace_limit(job, *step.spec))
    return false;
  if (!std::exchange(step.workspace_wait_logged, true))
    common::log_request("workspace_limit_reached", job.id(),
                        {{"workspace", job.account()->name},
                         {"step", index},
                         {"waiting", step.waiting},
                         {"cpu_millis_used", job.account()->running.cpu_millis},
                         {"cpu_millis_limit", job.account()->limit.cpu_millis},
                         {"memory_mib_used", job.account()->running.memory_mib},
                         {"memory_mib_limit", job.account()->limit.memory_mib}});
  return true;
}

// Best fit: prefers the most utilized worker that can still take the task, so that other workers
// keep free capacity for large tasks. A task that may crash its worker prefers the least utilized
// one, because all runs on that worker would be lost with it.
double placer::placement_score(const worker_record& worker, const step_record& step,
                               const task_record& task, double speed_preference,
                               time_point now) const
{
  const double share =
      common::dominant_share(worker.used + required_resources(*step.spec), worker.info.capacity);
  const double used = suspected(task.crashes) ? -share : share;
  const bool near = !step.spec->data_rack.empty() && worker.info.rack == step.spec->data_rack;
  const bool announced = task.crashes.announced_on == worker.info.id.value;
  return used + (announced ? k_announced_weight : 0.0) + (near ? k_data_rack_weight : 0.0) -
         (worker.slow_until > now ? k_slow_weight : 0.0) +
         m_state.speeds.placement_term(worker.info.id, speed_preference);
}

// The slack counts until the objective. For a job that is certain to be late it counts until the
// job has no value left, so that late jobs do not take the fast workers from jobs that can be in
// time.
double placer::speed_preference(const job_record& job, const task_place& place,
                                time_point now) const
{
  const step_record& step = job.cycles()[place.cycle].steps[place.step];
  if (!m_state.speeds.active() || step.spec->long_running)
    return 0.0;
  const milliseconds path = job.critical_path_from(place.step);
  const job_prospect prospect = job.prospect(place.step, now);
  if (prospect == job_prospect::none)
    return -1.0;
  const time_point end = prospect == job_prospect::in_time ? job.objective() : job.credit_end();
  const bool last = !step.spec->gang && step.waiting <= std::max(1U, step.spec->count / 8);
  return worker_speeds::preference(end - now - path, path, last);
}

// If the queue's policy names the permitted workers, only workers with a ticket are checked, which
// are few of all workers.
worker_record* placer::best_worker(job_record& job, const task_place& place, time_point now,
                                   isolation rule) const
{
  const step_record& step = job.step(place);
  const task_record& task = job.task(place);
  if (rule == isolation::enforced && m_crashes.postponed(task, now))
    return nullptr;
  worker_record* best = nullptr;
  double best_score = 0.0;
  const double preference = speed_preference(job, place, now);
  const auto consider = [&](worker_record& worker)
  {
    if (!m_rules.may_start(worker, job, place, now, rule))
      return;
    const double value = placement_score(worker, step, task, preference, now);
    if (best != nullptr && value <= best_score)
      return;
    best = &worker;
    best_score = value;
  };
  if (job.policy().advice)
  {
    for (const auto& [id, ticket] : step.permits.tickets)
    {
      if (!m_rules.valid_on_arrival(ticket, now))
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

void placer::prepare_trial(job_record& job, const task_place& place, time_point now) const
{
  task_record& task = job.task(place);
  if (m_crashes.postponed(task, now))
  {
    task.waiting_for_trial_since.reset();
    return;
  }
  const bool worker_kept = m_crashes.keeps_worker_for(task, now);
  // A decisive trial that waits needs a kept worker at all times, so another worker is picked if
  // none is kept; for other trials one attempt is enough.
  if (task.waiting_for_trial_since && (worker_kept || !crash_watch::decisive(task)))
    return;
  worker_record* const worker = best_worker(job, place, now, isolation::ignored);
  if (worker == nullptr)
    return;
  task.waiting_for_trial_since = task.waiting_for_trial_since.value_or(now);
  m_crashes.keep_for_trial(*worker, task, now);
}

// If the worker has to be asked first, so are as many others as the step may need, since its other
// tasks are likely to be placed there next.
bool placer::confirm_incarnation(job_record& job, const task_place& place, worker_record& worker,
                                 time_point now)
{
  if (m_state.incarnation_confirmed(worker, now))
    return true;
  m_confirmation_awaited = true;
  if (worker.confirmation_wanted_at)
    return false;
  m_state.request_confirmation(worker, now);
  std::uint32_t asked = 1;
  for (const auto& [id, other] : m_state.workers)
  {
    if (asked >= job.step(place).waiting)
      break;
    if (m_state.incarnation_confirmed(*other, now) ||
        !m_rules.may_start(*other, job, place, now, isolation::enforced))
      continue;
    m_state.request_confirmation(*other, now);
    ++asked;
  }
  return false;
}

bool placer::begin_mark_written(const waiting_step& each, const worker_record& worker,
                                time_point now)
{
  job_record& job = *each.job;
  step_record& step = job.cycles()[each.cycle].steps[each.step];
  if (step.begun.mark == begin_mark::none)
    m_state.request_begin_mark(job, step, m_zones.choose(job, each.cycle, each.step, now));
  return step.begun.written_for(worker.info.zone);
}

bool placer::zone_too_small(job_record& job, const task_place& place, time_point now) const
{
  if (job.step(place).begun.anywhere())
    return false;
  // A suspected task may only wait for a worker that is fit for its trial.
  return !suspected(job.task(place).crashes) ||
         best_worker(job, place, now, isolation::ignored) == nullptr;
}

void placer::widen_small_zone(job_record& job, step_record& step)
{
  if (!job.policy().advice || (!step.permits.asking && !step.permits.permitted.empty()))
    m_state.request_begin_mark_in_all_zones(job, step);
}

void placer::request_overdue_advice(const std::vector<waiting_step>& steps, time_point now)
{
  using overdue_step = std::pair<time_point, const waiting_step*>; // since when, and which
  const time_point latest = now - m_state.options.max_advice_turn_wait;
  std::array<std::vector<overdue_step>, 2> by_kind; // for short calls, and for long ones
  for (const waiting_step& each : steps)
  {
    if (!m_advice.can_request_overdue(*each.job, each.cycle, each.step, now))
      continue;
    const step_permits& permits = each.job->cycles()[each.cycle].steps[each.step].permits;
    const time_point waits_since = std::max(permits.last_advice_turn, each.job->accepted_at());
    std::vector<overdue_step>& of_kind =
        by_kind.at(advice_planner::needs_long_call(*each.job) ? 1 : 0);
    // Steps are sorted, so those beyond their workspace's share come last.
    if (waits_since <= latest && (of_kind.empty() || !each.job->beyond_share()))
      of_kind.emplace_back(waits_since, &each);
  }
  for (std::vector<overdue_step>& of_kind : by_kind)
  {
    const std::size_t tries = std::min(of_kind.size(), m_state.options.max_overdue_tries);
    std::partial_sort(of_kind.begin(), of_kind.begin() + static_cast<std::ptrdiff_t>(tries),
                      of_kind.end());
    for (std::size_t i = 0; i < tries; ++i)
    {
      const waiting_step& each = *of_kind[i].second;
      if (m_advice.request_overdue(*each.job, each.cycle, each.step, now))
        break;
    }
  }
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
    if (waits_for_workspace(job, each.step, step))
      break;
    const task_place place{each.cycle, each.step, index};
    worker_record* const worker = worker_for(job, place, now);
    if (worker == nullptr)
    {
      if (zone_too_small(job, place, now))
        widen_small_zone(job, step);
      if (!suspected(task.crashes))
        break;
      // Other tasks of the step are not suspected and may still find a worker.
      prepare_trial(job, place, now);
      continue;
    }
    // Asked for before the mark is written, so that both arrive at about the same time.
    const bool confirmed = confirm_incarnation(job, place, *worker, now);
    if (!begin_mark_written(each, *worker, now) || !confirmed)
      break;
    const run_number number = std::max(task.last_run, m_state.first_run) + 1;
    if (!m_crashes.may_start(job, place, number, *worker, false))
      continue;
    start(job, place, number, *worker, now);
    ++started;
  }
  if (started > 0)
    common::log_decision("tasks_started", job.id(),
                         {{"step", each.step},
                          {"started", started},
                          {"still_waiting", step.waiting},
                          {"since_accepted_ms", now - job.accepted_at()},
                          {"before_objective_ms", job.objective() - now}});
}

void placer::mark_slow_workers(time_point now)
{
  for (const auto& [id, worker] : m_state.workers)
  {
    const auto overdue_runs =
        std::count_if(worker->runs.begin(), worker->runs.end(),
                      [this, now](const auto& each) { return m_state.overdue(*each.second, now); });
    if (static_cast<std::size_t>(overdue_runs) < m_state.options.overdue_runs_to_avoid)
      continue;
    if (worker->slow_until <= now)
      common::log_process("worker_slow", {{"worker", id.value}, {"overdue_runs", overdue_runs}});
    worker->slow_until = now + m_state.options.slow_pause;
  }
}

bool placer::needs_copy(const run_record& run, time_point now) const
{
  if (!run.spec().speculative || run.spec().gang || run.spec().long_running ||
      run.phase == run_phase::stopping || run.job->ended() ||
      run.job->task(run.place).runs.size() > 1)
    return false;
  const worker_record& worker = *run.worker;
  // A task that may have crashed its worker gets no copy: the copy could crash a second worker
  // before the cause is known.
  const jobs::crash_history& crashes = run.job->task(run.place).crashes;
  if (suspected(crashes) || (worker.unresponsive && crashes.any()))
    return false;
  if (worker.unresponsive && now - worker.silent_since >= m_state.options.copy_after_silence)
    return true;
  return m_state.overdue(run, now);
}

void placer::place_copies(time_point now)
{
  // Without a recent renewal of the ownership another owner may have taken over and may know that
  // the first run has ended.
  if (!m_state.ownership_recently_confirmed(now))
    return;
  std::vector<run_record*> need_copy;
  for (const auto& [id, worker] : m_state.workers)
  {
    for (const auto& [task, run] : worker->runs)
    {
      if (needs_copy(*run, now))
        need_copy.push_back(run.get());
    }
  }
  std::map<step_ref, std::vector<task_place>> without_worker;
  for (const run_record* run : need_copy)
  {
    if (m_state.starts.spent())
      break;
    job_record& job = *run->job;
    const task_place place = run->place;
    if (!scheduler_state::within_workspace_limit(job, run->spec()))
      continue;
    worker_record* const worker = worker_for(job, place, now);
    if (worker == nullptr || !begin_mark_written({&job, place.cycle, place.step}, *worker, now))
    {
      widen_small_zone(job, job.step(place));
      without_worker[{job.id(), place.cycle, place.step}].push_back(place);
      continue;
    }
    if (!confirm_incarnation(job, place, *worker, now))
      continue;
    const run_number number = job.task(place).last_run + 1;
    if (!m_crashes.may_start(job, place, number, *worker, run->worker->unresponsive))
      continue;
    common::log_request("copy_started", job.id(),
                        {{"step", place.step},
                         {"task", place.index},
                         {"beside", run->worker->info.id.value},
                         {"silent", run->worker->unresponsive},
                         {"running_ms", now - run->begun}});
    m_state.metrics.add(common::retry_reason::worker_lost);
    start(job, place, number, *worker, now);
  }
  for (const auto& [step, tasks] : without_worker)
    m_advice.want_for_running(*m_state.find_job(step.job), tasks, now);
}

void placer::start(job_record& job, const task_place& place, run_number number,
                   worker_record& worker, time_point now)
{
  // The run of a gang member was already added by add_member().
  const auto known = worker.runs.find({job.id(), place});
  run_record& run = known == worker.runs.end() ? m_state.add_run(job, place, number, worker, now)
                                               : *known->second;
  const std::string* const ticket = m_rules.ticket(job, job.step(place), worker.info.id, now);
  m_crashes.mark_trial(run, now);
  job.task(place).waiting_for_trial_since.reset();
  job.step(place).permits.fruitless = 0;
  worker.latest_start = now;
  run.last_sent = now;
  run.sends = 1;
  run.start_expires = m_state.extend_worker_lease(worker, now);
  run.ticket = ticket == nullptr ? std::string() : *ticket;
  run.ticket_over = m_rules.ticket_expiry(job, job.step(place), worker.info.id);
  m_state.starts.take();
  m_state.metrics.add(common::counter::attempts_started);
  if (job.first_start())
  {
    m_state.outlook.record_first_start(job.policy().priority, now);
    m_state.metrics.record(wait_timing(job, *job.step(place).spec), now - job.accepted_at());
  }
  m_state.commands.emplace_back(start_command{
      worker.info.id, worker.info.address, run.ref(), number, job.accepted().spec.payload,
      m_state.start_lease_end(run, now), job.task(place).checkpoint, run.ticket, worker.token});
}
} // namespace yardhill::scheduling
