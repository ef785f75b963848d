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
// From its second count on, or the first one if that is unclear, a task is tried where nothing else
// has just begun. If it alone is blamed then, it is given up; if losses before point both ways it
// takes more of them. The platform's bound is five starts of a task that crashes its workers.
constexpr std::size_t k_counts_to_isolate = 2;
constexpr std::size_t k_losses_to_convict = 2;
constexpr std::size_t k_losses_if_doubtful = 4;
// Otherwise it takes more counts, since those whose end is unclear may have been lost with a cut.
constexpr std::size_t k_counts_to_give_up = 4;
constexpr std::size_t k_tries = 5;
// After so many lost starts two are left.
constexpr std::size_t k_losses_to_be_decisive = 3;
// From so many losses by chance on, a task is tried apart as well.
constexpr std::uint32_t k_chances_to_isolate = 2;
// Its trial lasts twice as long with each count, so that one that takes longer to crash its worker
// is found out as well.
constexpr std::size_t k_most_trial_doublings = 3;

bool isolated(const task_record& task)
{
  const jobs::crash_history& crashes = task.crashes;
  return counts_of(crashes) + crashes.by_chance >= k_counts_to_isolate ||
         crash_watch::decisive(task);
}

void add_once(std::vector<run_number>& runs, run_number run)
{
  if (std::find(runs.begin(), runs.end(), run) == runs.end())
    runs.push_back(run);
}

// How long the run has lived for certain.
duration lived(const run_record& run)
{
  return std::max(duration{0}, run.worker->heard_at - run.begun);
}
} // namespace

std::string_view crash_watch::to_text(verdict how)
{
  static constexpr std::array<std::string_view, 6> k_names{"blamed_alone",     "blamed_with_others",
                                                           "unclear",          "unanswered",
                                                           "unanswered_alone", "by_chance"};
  return k_names[static_cast<std::size_t>(how)];
}

bool crash_watch::convicted(const jobs::crash_history& crashes)
{
  // Another run was younger once, nobody knows what was, or others fell as well: it takes more
  // losses to tell the task from its neighbours and its luck.
  const bool doubtful = !crashes.unclear.empty() || crashes.by_chance > 0;
  // Starts without an answer may never have begun.
  const std::size_t losses = lost_starts(crashes) - crashes.unanswered;
  return crashes.alone > 0 && losses >= (doubtful ? k_losses_if_doubtful : k_losses_to_convict);
}

bool crash_watch::to_be_given_up(const jobs::crash_history& crashes)
{
  return convicted(crashes) || out_of_tries(crashes);
}

bool crash_watch::out_of_tries(const jobs::crash_history& crashes)
{
  const std::size_t counts = counts_of(crashes);
  if (crashes.blamed.empty())
    return counts + crashes.unanswered >= k_tries;
  return counts >= k_counts_to_give_up || lost_starts(crashes) >= k_tries;
}

bool crash_watch::decisive(const task_record& task)
{
  return lost_starts(task.crashes) >= k_losses_to_be_decisive;
}

std::size_t counts_of(const jobs::crash_history& crashes)
{
  return crashes.blamed.size() + crashes.unclear.size();
}

std::size_t lost_starts(const jobs::crash_history& crashes)
{
  return counts_of(crashes) + crashes.unanswered + crashes.by_chance + crashes.unjudged;
}

bool suspected(const jobs::crash_history& crashes)
{
  return counts_of(crashes) > 0 || crashes.by_chance >= k_chances_to_isolate ||
         lost_starts(crashes) >= k_losses_to_be_decisive;
}

bool crash_watch::ran_suspect(const worker_record& worker) const
{
  if (!worker.runs.empty())
    return std::any_of(worker.runs.begin(), worker.runs.end(),
                       [](const auto& each)
                       { return suspected(each.second->job->task(each.second->place).crashes); });
  // What an earlier owner had started there is known by its announcement.
  if (worker.claimed)
    return false;
  return std::any_of(m_state.open.begin(), m_state.open.end(),
                     [&](const std::string& id)
                     { return m_state.jobs.at(id)->has_suspect_on(worker.info.id.value); });
}

duration crash_watch::trial_time(const task_record& task) const
{
  const std::size_t losses = counts_of(task.crashes) + task.crashes.by_chance;
  const std::size_t doublings = std::min(losses, k_most_trial_doublings);
  return m_state.options.crash_trial * (1U << doublings);
}

std::vector<crash_watch::lost_run> crash_watch::runs_of(const worker_record& worker) const
{
  std::vector<lost_run> runs;
  for (const auto& [task, run] : worker.runs)
    runs.push_back({task.job, task.place, run->number});
  return runs;
}

// The ones that are known to have begun last: what had begun before them had shown for longer that
// it does no harm. Starts without an answer count as unclear: they may have crashed the worker at
// once, or have come too late to begin at all.
void crash_watch::blame(const worker_record& worker, std::vector<lost_run>& runs,
                        time_point now) const
{
  duration youngest = duration::max();
  for (const auto& [task, run] : worker.runs)
  {
    if (run->start_answered)
      youngest = std::min(youngest, lived(*run));
  }
  std::size_t blamed = 0;
  std::size_t unanswered = 0;
  for (lost_run& each : runs)
  {
    const run_record& run = *worker.runs.at({each.job, each.place});
    const bool survived = run.spec().long_running && lived(run) >= m_state.options.crash_survived;
    if (!run.start_answered)
      each.how = verdict::unanswered;
    else if (!survived && lived(run) <= youngest + m_state.options.crash_cluster)
      each.how = verdict::blamed_with_others;
    blamed += each.how == verdict::blamed_with_others ? 1 : 0;
    unanswered += each.how == verdict::unanswered ? 1 : 0;
  }
  for (lost_run& each : runs)
  {
    if (each.how == verdict::blamed_with_others && blamed == 1 && unanswered == 0)
      each.how = verdict::blamed_alone;
    if (each.how == verdict::unanswered && blamed == 0 && unanswered == 1)
      each.how = verdict::unanswered_alone;
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
  // One whose entry went while it still answered was about to leave.
  const bool planned =
      worker.info.draining || (!worker.listed && worker.unlisted_since < worker.heard_at);
  if (!planned && (worker.claimed || worker.claim) && !ran_suspect(worker))
    m_background.note(worker, now);
  if (!planned && worker.claimed)
  {
    m_state.metrics.add(common::counter::workers_crashed);
    blame(worker, runs, now);
  }
  m_state.lose_runs(worker, which, why);
  take_in(worker.info.id, runs, !planned, now);
}

void crash_watch::leases_over(worker_record& worker, const char* why, time_point now)
{
  const std::vector<lost_run> runs = runs_of(worker);
  m_state.lose_runs(worker, scheduler_state::lost_runs::all, why);
  take_in(worker.info.id, runs, true, now);
}

void crash_watch::take_in(const worker_id& worker, const std::vector<lost_run>& runs, bool crashed,
                          time_point now)
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
    may_be_lost(*job, each.place);
    if (crashed && !each.how && !announced)
    {
      ++crashes.unjudged;
      m_state.mark_dirty(*job);
    }
    if (each.how || announced)
      count(*job, each.place, each.number, worker, each.how.value_or(verdict::unclear), now);
  }
}

void crash_watch::count(job_record& job, const task_place& place, run_number run,
                        const worker_id& worker, verdict how, time_point now)
{
  task_record& task = job.task(place);
  jobs::crash_history& crashes = task.crashes;
  // In a decisive trial the worker had just answered, and nothing else had begun there.
  if (how == verdict::unanswered_alone)
    how = decisive(task) ? verdict::blamed_alone : verdict::unanswered;
  // Any task would have lost its worker: nobody is given up for that.
  if (m_background.explain_loss_of(worker, now))
    how = verdict::by_chance;
  const bool alone = how == verdict::blamed_alone && isolated(task);
  crashes.alone += alone ? 1 : 0;
  if (how == verdict::by_chance)
    ++crashes.by_chance;
  else if (how == verdict::unanswered)
    ++crashes.unanswered;
  else
    add_once(how == verdict::unclear ? crashes.unclear : crashes.blamed, run);
  m_state.mark_dirty(job);
  common::log_request("task_lost_with_worker", job.id(),
                      {{"step", place.step},
                       {"task", place.index},
                       {"run", run},
                       {"worker", worker.value},
                       {"verdict", to_text(how)},
                       {"blamed", crashes.blamed.size()},
                       {"unclear", crashes.unclear.size()},
                       {"unanswered", crashes.unanswered},
                       {"by_chance", crashes.by_chance},
                       {"unjudged", crashes.unjudged},
                       {"alone", crashes.alone}});
  if (how != verdict::by_chance)
    note_loss({{job.id(), place}, run, worker, how, alone, now});
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
          note_loss({{job.id(), {c, s, i}}, 0, {}, verdict::unclear, false, now});
      }
    }
  }
}

void crash_watch::note_loss(const counted_loss& loss)
{
  job_record& job = *m_state.find_job(loss.task.job);
  task_record& task = job.task(loss.task.place);
  if (to_be_given_up(task.crashes))
    task.accused_by = loss.run;
  m_latest.push_back(loss);
}

void crash_watch::tick(time_point now)
{
  while (!m_latest.empty() && now - m_latest.front().at >= m_state.options.conviction_wait)
  {
    const counted_loss loss = m_latest.front();
    m_latest.pop_front();
    job_record* const job = m_state.find_job(loss.task.job);
    if (job != nullptr && !job->ended())
      decide(*job, loss, now);
  }
}

void crash_watch::decide(job_record& job, const counted_loss& loss, time_point now)
{
  task_record& task = job.task(loss.task.place);
  if (m_background.explain_loss_of(loss.worker, now))
    take_for_chance(job, loss);
  m_state.place_again = true;
  if (task.accused_by != loss.run)
    return;
  task.accused_by.reset();
  if (to_be_given_up(task.crashes))
    give_up(job, loss.task.place, now);
}

// Others have fallen with the worker, which was not known when its loss was counted.
void crash_watch::take_for_chance(job_record& job, const counted_loss& loss)
{
  jobs::crash_history& crashes = job.task(loss.task.place).crashes;
  const std::size_t counted = counts_of(crashes) + crashes.unanswered;
  std::erase(crashes.blamed, loss.run);
  std::erase(crashes.unclear, loss.run);
  if (loss.how == verdict::unanswered && crashes.unanswered > 0)
    --crashes.unanswered;
  if (counts_of(crashes) + crashes.unanswered == counted)
    return; // the task has been cleared meanwhile
  crashes.alone -= loss.alone && crashes.alone > 0 ? 1 : 0;
  ++crashes.by_chance;
  m_state.mark_dirty(job);
}

void crash_watch::give_up(job_record& job, const task_place& place, time_point now)
{
  const jobs::crash_history& crashes = job.task(place).crashes;
  m_state.metrics.add(common::counter::tasks_given_up);
  common::log_request("task_given_up", job.id(),
                      {{"step", place.step},
                       {"task", place.index},
                       {"crashes", crashes.blamed.size()},
                       {"unclear", crashes.unclear.size()},
                       {"unanswered", crashes.unanswered}});
  m_state.end_job(job, jobs::job_state::failed, now);
}

void crash_watch::run_told(job_record& job, const task_place& place, run_number run)
{
  jobs::crash_history& crashes = job.task(place).crashes;
  if (crashes.announced != run || job.ended())
    return;
  crashes.take_back();
  m_state.mark_dirty(job);
}

// A task that lasts may see many workers crash in its time. Once it has run on for this long it has
// nothing to do with earlier crashes.
void crash_watch::run_heard(run_record& run, time_point now)
{
  task_record& task = run.job->task(run.place);
  if (!run.spec().long_running || !(task.lost || task.crashes.any()) ||
      now - run.begun < m_state.options.crash_survived)
    return;
  task.lost = false;
  if (!task.crashes.any())
    return;
  task.crashes = {};
  m_state.mark_dirty(*run.job);
}

void crash_watch::may_be_lost(job_record& job, const task_place& place)
{
  task_record& task = job.task(place);
  task.lost = true;
  if (std::exchange(task.crashes.lost, true))
    return;
  m_state.mark_dirty(job);
}

void crash_watch::may_be_lost_unjudged(job_record& job, const task_place& place)
{
  may_be_lost(job, place);
  jobs::crash_history& crashes = job.task(place).crashes;
  if (crashes.announced != 0 || lost_starts(crashes) > 0)
    return;
  crashes.unjudged = 1;
  m_state.mark_dirty(job);
}

void crash_watch::released(job_record& job, const task_place& place, earlier_worker fate,
                           time_point now)
{
  jobs::crash_history& crashes = job.task(place).crashes;
  if (crashes.announced == 0)
    return;
  const run_number run = crashes.announced;
  const worker_id worker(crashes.announced_on);
  crashes.take_back();
  m_state.mark_dirty(job);
  if (fate != earlier_worker::heard)
    count(job, place, run, worker,
          fate == earlier_worker::ended ? verdict::blamed_with_others : verdict::unclear, now);
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
  return task.accused_by || (isolated(task) && m_background.high(now));
}

bool crash_watch::steady(const worker_record& worker, time_point now) const
{
  return worker.first_seen + m_state.options.steady_life <= now;
}

bool crash_watch::heard_lately(const worker_record& worker, time_point now) const
{
  return now - worker.heard_at <=
         std::max(m_state.options.fresh_lists, m_state.worker_request_timeout);
}

duration crash_watch::patience(const task_record& task) const
{
  const scheduler_options& options = m_state.options;
  return options.crash_trial_patience + (decisive(task) ? options.crash_trial : duration{0});
}

bool crash_watch::fit(const worker_record& worker, const task_record& task, time_point now) const
{
  // Nothing else begins beside an isolated trial.
  if (worker.isolated_until > now && worker.kept_for_trial != &task)
    return false;
  if (!suspected(task.crashes))
    return true;
  // Where there has been no better worker for long, any will do.
  if (task.trial_wanted && now - *task.trial_wanted >= patience(task))
    return true;
  if (worker.trial_until > now)
    return false;
  if (!isolated(task))
    return true;
  const bool quiet = worker.latest_start + m_state.options.crash_trial <= now;
  if (decisive(task))
    return quiet && steady(worker, now) && heard_lately(worker, now);
  return quiet && (task.crashes.by_chance == 0 || steady(worker, now));
}

bool crash_watch::can_become_fit(const worker_record& worker, const task_record& task,
                                 time_point now) const
{
  return !decisive(task) ||
         (steady(worker, now) && (worker.isolated_until <= now || worker.kept_for_trial == &task));
}

void crash_watch::keep_for_trial(worker_record& worker, const task_record& task,
                                 time_point now) const
{
  if (!isolated(task) || worker.isolated_until > now)
    return;
  worker.kept_for_trial = &task;
  worker.isolated_until = now + patience(task);
}

bool crash_watch::keeps_worker_for(const task_record& task, time_point now) const
{
  bool kept = false;
  for (const auto& [id, worker] : m_state.workers)
  {
    if (worker->kept_for_trial != &task || worker->isolated_until <= now)
      continue;
    kept = true;
    worker->ask_at_once |= decisive(task) && !heard_lately(*worker, now);
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
  worker.trial_until = std::max(worker.trial_until, now + trial_time(task));
  if (isolated(task))
    worker.isolated_until = std::max(worker.isolated_until, now + trial_time(task));
}
} // namespace yardhill::scheduling
