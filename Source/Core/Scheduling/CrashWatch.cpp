// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/CrashWatch.h"

#include <algorithm>
#include <array>
#include <utility>

#include "Common/EventLog.h"

namespace yardhill::scheduling
{
namespace
{
// From its second counted loss on, a task is tried where nothing else has just begun. If it alone
// is blamed then, it is given up, unless its earlier losses are ambiguous; then that takes more
// losses. The platform allows five starts of a task that crashes its workers.
constexpr std::size_t k_counts_to_isolate = 2;
constexpr std::size_t k_losses_to_prove = 2;
constexpr std::size_t k_losses_to_prove_if_ambiguous = 4;
// Without such a proof it takes more counted losses to give up the task, since runs whose end is
// unclear may have been lost because their workers were unreachable.
constexpr std::size_t k_counts_to_give_up = 4;
constexpr std::size_t k_max_lost_starts = 5;
// After so many lost starts only two are left, and their trials are decisive ones.
constexpr std::size_t k_lost_starts_before_decisive = 3;
// After so many losses by chance, a task counts as suspected and is tried in isolation as well.
constexpr std::uint32_t k_chance_losses_to_isolate = 2;
// The length of a task's trial doubles with each loss, up to this many times, so that tasks that
// take longer to crash their workers are found as well.
constexpr std::size_t k_max_trial_doublings = 3;

bool needs_isolation(const task_record& task)
{
  const jobs::crash_history& crashes = task.crashes;
  return counted_losses(crashes) + crashes.by_chance >= k_counts_to_isolate ||
         crash_watch::decisive(task);
}

void add_once(std::vector<run_number>& runs, run_number run)
{
  if (std::find(runs.begin(), runs.end(), run) == runs.end())
    runs.push_back(run);
}

// The time from the run's placement until its worker was last heard, which had survived the run for
// so long.
duration confirmed_lifetime(const run_record& run)
{
  return std::max(duration{0}, run.worker->heard_at - run.begun);
}
} // namespace

std::string_view crash_watch::to_text(verdict finding)
{
  static constexpr std::array<std::string_view, 6> k_names{"blamed_alone",     "blamed_with_others",
                                                           "unclear",          "unanswered",
                                                           "unanswered_alone", "by_chance"};
  return k_names[static_cast<std::size_t>(finding)];
}

bool crash_watch::proven_cause(const jobs::crash_history& crashes)
{
  // In some loss another run was younger than the task's, or it is not known which run was, or
  // other workers were lost as well. Then it takes more losses to tell the task's own effect from
  // that of the tasks beside it and from chance.
  const bool ambiguous = !crashes.unclear.empty() || crashes.by_chance > 0;
  // Runs whose start requests had no answer may never have begun.
  const std::size_t losses = lost_starts(crashes) - crashes.unanswered;
  return crashes.alone > 0 &&
         losses >= (ambiguous ? k_losses_to_prove_if_ambiguous : k_losses_to_prove);
}

bool crash_watch::to_be_given_up(const jobs::crash_history& crashes)
{
  return proven_cause(crashes) || out_of_tries(crashes);
}

bool crash_watch::out_of_tries(const jobs::crash_history& crashes)
{
  const std::size_t counts = counted_losses(crashes);
  if (crashes.blamed.empty())
    return counts + crashes.unanswered >= k_max_lost_starts;
  return counts >= k_counts_to_give_up || lost_starts(crashes) >= k_max_lost_starts;
}

bool crash_watch::decisive(const task_record& task)
{
  return lost_starts(task.crashes) >= k_lost_starts_before_decisive;
}

std::size_t counted_losses(const jobs::crash_history& crashes)
{
  return crashes.blamed.size() + crashes.unclear.size();
}

std::size_t lost_starts(const jobs::crash_history& crashes)
{
  return counted_losses(crashes) + crashes.unanswered + crashes.by_chance +
         crashes.unexplained_losses;
}

bool suspected(const jobs::crash_history& crashes)
{
  return counted_losses(crashes) > 0 || crashes.by_chance >= k_chance_losses_to_isolate ||
         lost_starts(crashes) >= k_lost_starts_before_decisive;
}

bool crash_watch::may_have_run_suspected_task(const worker_record& worker) const
{
  if (!worker.runs.empty())
    return std::any_of(worker.runs.begin(), worker.runs.end(),
                       [](const auto& each)
                       { return suspected(each.second->job->task(each.second->place).crashes); });
  // Suspected runs that an earlier owner had started there are known from their announcements.
  if (worker.claimed)
    return false;
  return std::any_of(m_state.open.begin(), m_state.open.end(),
                     [&](const std::string& id)
                     { return m_state.jobs.at(id)->has_suspect_on(worker.info.id.value); });
}

duration crash_watch::trial_duration(const task_record& task) const
{
  const std::size_t losses = counted_losses(task.crashes) + task.crashes.by_chance;
  const std::size_t doublings = std::min(losses, k_max_trial_doublings);
  return m_state.options.crash_trial_time * (1U << doublings);
}

std::vector<crash_watch::lost_run> crash_watch::runs_of(const worker_record& worker) const
{
  std::vector<lost_run> runs;
  for (const auto& [task, run] : worker.runs)
    runs.push_back({task.job, task.place, run->number});
  return runs;
}

// Blames the runs that are known to have begun last: the worker had survived the earlier ones for
// longer. Runs whose start requests had no answer get a verdict of their own: they may have crashed
// the worker at once, or their requests may have arrived too late to begin them at all.
void crash_watch::blame(const worker_record& worker, std::vector<lost_run>& runs,
                        time_point now) const
{
  duration youngest = duration::max();
  for (const auto& [task, run] : worker.runs)
  {
    if (run->start_answered)
      youngest = std::min(youngest, confirmed_lifetime(*run));
  }
  std::size_t blamed = 0;
  std::size_t unanswered = 0;
  for (lost_run& each : runs)
  {
    const run_record& run = *worker.runs.at({each.job, each.place});
    const bool survived =
        run.spec().long_running && confirmed_lifetime(run) >= m_state.options.crash_survival_time;
    if (!run.start_answered)
      each.finding = verdict::unanswered;
    else if (!survived && confirmed_lifetime(run) <= youngest + m_state.options.crash_blame_margin)
      each.finding = verdict::blamed_with_others;
    blamed += each.finding == verdict::blamed_with_others ? 1 : 0;
    unanswered += each.finding == verdict::unanswered ? 1 : 0;
  }
  for (lost_run& each : runs)
  {
    if (each.finding == verdict::blamed_with_others && blamed == 1 && unanswered == 0)
      each.finding = verdict::blamed_alone;
    if (each.finding == verdict::unanswered && blamed == 0 && unanswered == 1)
      each.finding = verdict::unanswered_alone;
  }
  common::log_process("worker_crashed",
                      {{"worker", worker.info.id.value},
                       {"runs", runs.size()},
                       {"blamed", blamed},
                       {"youngest_ms", youngest == duration::max() ? duration{0} : youngest},
                       {"silent_ms", now - worker.heard_at}});
}

void crash_watch::worker_ended(worker_record& worker, scheduler_state::lost_runs which,
                               const char* why, time_point now)
{
  std::vector<lost_run> runs = runs_of(worker);
  // A worker that still answered after its entry had gone was leaving as planned.
  const bool planned =
      worker.info.draining || (!worker.listed && worker.unlisted_since < worker.heard_at);
  if (!planned && (worker.claimed || worker.claim) && !may_have_run_suspected_task(worker))
    m_background.record_loss(worker, now);
  if (!planned && worker.claimed)
  {
    m_state.metrics.add(common::counter::workers_crashed);
    blame(worker, runs, now);
  }
  m_state.remove_lost_runs(worker, which, why);
  record_losses(worker.info.id, runs, !planned, now);
}

void crash_watch::leases_expired(worker_record& worker, const char* why, time_point now)
{
  const std::vector<lost_run> runs = runs_of(worker);
  m_state.remove_lost_runs(worker, scheduler_state::lost_runs::all, why);
  record_losses(worker.info.id, runs, true, now);
}

void crash_watch::record_losses(const worker_id& worker, const std::vector<lost_run>& runs,
                                bool crashed, time_point now)
{
  for (const lost_run& each : runs)
  {
    job_record* const job = m_state.find_job(each.job);
    if (job == nullptr || job->ended())
      continue;
    jobs::crash_history& crashes = job->task(each.place).crashes;
    const bool announced = crashes.announced == each.number;
    if (announced)
      crashes.take_back();
    mark_possibly_lost(*job, each.place);
    if (crashed && !each.finding && !announced)
    {
      ++crashes.unexplained_losses;
      m_state.mark_dirty(*job);
    }
    if (each.finding || announced)
      count_loss(*job, each.place, each.number, worker, each.finding.value_or(verdict::unclear),
                 now);
  }
}

void crash_watch::count_loss(job_record& job, const task_place& place, run_number run,
                             const worker_id& worker, verdict finding, time_point now)
{
  task_record& task = job.task(place);
  jobs::crash_history& crashes = task.crashes;
  // In a decisive trial the worker had just answered, and nothing else had begun there, so its loss
  // is evidence although the start request had no answer.
  if (finding == verdict::unanswered_alone)
    finding = decisive(task) ? verdict::blamed_alone : verdict::unanswered;
  // Any other task would have lost the worker as well, so no task is given up for this loss.
  if (m_background.explain_loss_of(worker, now))
    finding = verdict::by_chance;
  const bool alone = finding == verdict::blamed_alone && needs_isolation(task);
  crashes.alone += alone ? 1 : 0;
  if (finding == verdict::by_chance)
    ++crashes.by_chance;
  else if (finding == verdict::unanswered)
    ++crashes.unanswered;
  else
    add_once(finding == verdict::unclear ? crashes.unclear : crashes.blamed, run);
  m_state.mark_dirty(job);
  common::log_request("task_lost_with_worker", job.id(),
                      {{"step", place.step},
                       {"task", place.index},
                       {"run", run},
                       {"worker", worker.value},
                       {"verdict", to_text(finding)},
                       {"blamed", crashes.blamed.size()},
                       {"unclear", crashes.unclear.size()},
                       {"unanswered", crashes.unanswered},
                       {"by_chance", crashes.by_chance},
                       {"unjudged", crashes.unexplained_losses},
                       {"alone", crashes.alone}});
  if (finding != verdict::by_chance)
    defer_decision({{job.id(), place}, run, worker, finding, alone, now});
}

void crash_watch::restored(job_record& job, time_point now)
{
  for (std::uint32_t c = 0; c < job.cycles().size(); ++c)
  {
    for (std::uint32_t s = 0; s < job.cycles()[c].steps.size(); ++s)
    {
      std::vector<task_record>& tasks = job.cycles()[c].steps[s].tasks;
      for (std::uint32_t i = 0; i < tasks.size(); ++i)
      {
        if (tasks[i].phase != task_phase::done && to_be_given_up(tasks[i].crashes))
          defer_decision({{job.id(), {c, s, i}}, 0, {}, verdict::unclear, false, now});
      }
    }
  }
}

void crash_watch::defer_decision(const counted_loss& loss)
{
  job_record& job = *m_state.find_job(loss.task.job);
  task_record& task = job.task(loss.task.place);
  if (to_be_given_up(task.crashes))
    task.pending_give_up_run = loss.run;
  m_undecided.push_back(loss);
}

void crash_watch::tick(time_point now)
{
  while (!m_undecided.empty() && now - m_undecided.front().at >= m_state.options.conviction_delay)
  {
    const counted_loss loss = m_undecided.front();
    m_undecided.pop_front();
    job_record* const job = m_state.find_job(loss.task.job);
    if (job != nullptr && !job->ended())
      decide(*job, loss, now);
  }
}

void crash_watch::decide(job_record& job, const counted_loss& loss, time_point now)
{
  task_record& task = job.task(loss.task.place);
  if (m_background.explain_loss_of(loss.worker, now))
    recount_as_chance(job, loss);
  m_state.place_again = true;
  if (task.pending_give_up_run != loss.run)
    return;
  task.pending_give_up_run.reset();
  if (to_be_given_up(task.crashes))
    give_up(job, loss.task.place, now);
}

// Recounts a loss as one by chance, since other workers were lost with this one, which was not
// known when the loss was counted.
void crash_watch::recount_as_chance(job_record& job, const counted_loss& loss)
{
  jobs::crash_history& crashes = job.task(loss.task.place).crashes;
  const std::size_t counted = counted_losses(crashes) + crashes.unanswered;
  std::erase(crashes.blamed, loss.run);
  std::erase(crashes.unclear, loss.run);
  if (loss.finding == verdict::unanswered && crashes.unanswered > 0)
    --crashes.unanswered;
  if (counted_losses(crashes) + crashes.unanswered == counted)
    return; // the task's history has been cleared since
  crashes.alone -= loss.alone && crashes.alone > 0 ? 1 : 0;
  ++crashes.by_chance;
  m_state.mark_dirty(job);
}

void crash_watch::give_up(job_record& job, const task_place& place, time_point now)
{
  const jobs::crash_history& crashes = job.task(place).crashes;
  m_state.metrics.add(common::counter::tasks_given_up);
  common::log_decision("task_given_up", job.id(),
                       {{"step", place.step},
                        {"task", place.index},
                        {"crashes", crashes.blamed.size()},
                        {"unclear", crashes.unclear.size()},
                        {"unanswered", crashes.unanswered}});
  m_state.end_job(job, jobs::job_state::failed, now);
}

void crash_watch::run_outcome_known(job_record& job, const task_place& place, run_number run)
{
  jobs::crash_history& crashes = job.task(place).crashes;
  if (crashes.announced != run || job.ended())
    return;
  crashes.take_back();
  m_state.mark_dirty(job);
}

// A long-running task may see many workers crash in its time. Once one of its runs has gone on for
// `crash_survival_time`, the task is taken to have nothing to do with earlier crashes.
void crash_watch::run_still_running(run_record& run, time_point now)
{
  task_record& task = run.job->task(run.place);
  if (!run.spec().long_running || !(task.lost || task.crashes.any()) ||
      now - run.begun < m_state.options.crash_survival_time)
    return;
  task.lost = false;
  if (!task.crashes.any())
    return;
  task.crashes = {};
  m_state.mark_dirty(*run.job);
}

void crash_watch::mark_possibly_lost(job_record& job, const task_place& place)
{
  task_record& task = job.task(place);
  task.lost = true;
  if (std::exchange(task.crashes.lost, true))
    return;
  m_state.mark_dirty(job);
}

void crash_watch::count_unjudged_loss(job_record& job, const task_place& place)
{
  mark_possibly_lost(job, place);
  jobs::crash_history& crashes = job.task(place).crashes;
  if (crashes.announced != 0 || lost_starts(crashes) > 0)
    return;
  crashes.unexplained_losses = 1;
  m_state.mark_dirty(job);
}

void crash_watch::released(job_record& job, const task_place& place, earlier_worker_status status,
                           time_point now)
{
  jobs::crash_history& crashes = job.task(place).crashes;
  if (crashes.announced == 0)
    return;
  const run_number run = crashes.announced;
  const worker_id worker(crashes.announced_on);
  crashes.take_back();
  m_state.mark_dirty(job);
  if (status != earlier_worker_status::heard)
    count_loss(job, place, run, worker,
               status == earlier_worker_status::ended ? verdict::blamed_with_others
                                                      : verdict::unclear,
               now);
}

bool crash_watch::may_start(job_record& job, const task_place& place, run_number run,
                            const worker_record& worker, bool beside_silent)
{
  task_record& task = job.task(place);
  const bool on_trial = suspected(task.crashes);
  if (!on_trial && !beside_silent && !task.lost && !task.crashes.any())
    return true;
  if (task.crashes.announced == run && task.crashes.announced_on == worker.info.id.value)
    return !awaits_announcement(task);
  task.crashes.announced = run;
  task.crashes.announced_on = worker.info.id.value;
  task.announced = begin_mark::wanted;
  m_state.mark_dirty(job);
  return !on_trial;
}

bool crash_watch::awaits_announcement(const task_record& task)
{
  return suspected(task.crashes) && task.announced != begin_mark::written;
}

bool crash_watch::postponed(const task_record& task, time_point now) const
{
  return task.pending_give_up_run || (needs_isolation(task) && m_background.high(now));
}

bool crash_watch::stable(const worker_record& worker, time_point now) const
{
  return worker.first_seen + m_state.options.steady_incarnation_age <= now;
}

bool crash_watch::heard_recently(const worker_record& worker, time_point now) const
{
  return now - worker.heard_at <=
         std::max(m_state.options.max_list_age, m_state.worker_request_timeout);
}

duration crash_watch::trial_wait_limit(const task_record& task) const
{
  const scheduler_options& options = m_state.options;
  return options.crash_trial_timeout + (decisive(task) ? options.crash_trial_time : duration{0});
}

bool crash_watch::fit(const worker_record& worker, const task_record& task, time_point now) const
{
  // No other task begins on a worker with an isolated trial, or on one that is kept for one.
  if (worker.isolated_until > now && worker.kept_for_trial != &task)
    return false;
  if (!suspected(task.crashes))
    return true;
  // If no worker has been fit for so long, any worker is.
  if (task.waiting_for_trial_since && now - *task.waiting_for_trial_since >= trial_wait_limit(task))
    return true;
  if (worker.trial_until > now)
    return false;
  if (!needs_isolation(task))
    return true;
  const bool nothing_just_begun = worker.latest_start + m_state.options.crash_trial_time <= now;
  if (decisive(task))
    return nothing_just_begun && stable(worker, now) && heard_recently(worker, now);
  return nothing_just_begun && (task.crashes.by_chance == 0 || stable(worker, now));
}

bool crash_watch::can_become_fit(const worker_record& worker, const task_record& task,
                                 time_point now) const
{
  return !decisive(task) ||
         (stable(worker, now) && (worker.isolated_until <= now || worker.kept_for_trial == &task));
}

void crash_watch::keep_for_trial(worker_record& worker, const task_record& task,
                                 time_point now) const
{
  if (!needs_isolation(task) || worker.isolated_until > now)
    return;
  worker.kept_for_trial = &task;
  worker.isolated_until = now + trial_wait_limit(task);
}

bool crash_watch::keeps_worker_for(const task_record& task, time_point now) const
{
  bool kept = false;
  for (const auto& [id, worker] : m_state.workers)
  {
    if (worker->kept_for_trial != &task || worker->isolated_until <= now)
      continue;
    kept = true;
    worker->hold_requested |= decisive(task) && !heard_recently(*worker, now);
  }
  return kept;
}

void crash_watch::mark_trial(run_record& run, time_point now) const
{
  worker_record& worker = *run.worker;
  const task_record& task = run.job->task(run.place);
  if (!suspected(task.crashes))
    return;
  worker.trial = &run;
  worker.trial_until = std::max(worker.trial_until, now + trial_duration(task));
  if (needs_isolation(task))
    worker.isolated_until = std::max(worker.isolated_until, now + trial_duration(task));
}
} // namespace yardhill::scheduling
