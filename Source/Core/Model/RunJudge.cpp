// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Model/RunJudge.h"

#include <algorithm>
#include <utility>

#include "Common/EventLog.h"

namespace yardhill::model
{
namespace
{
// After this time no worker may start a run of a job whose cancellation was acknowledged: 3 s as a
// rule, plus the authority (4.5 s) of an isolated owner, which does not learn of the cancellation
// and may continue for that long. A run that was started late is only checked for being gone.
constexpr std::chrono::milliseconds k_cancel_limit{7500};
// After this time nothing may start on a worker that leaves or whose entry is invalid: 2 s as a
// rule, plus the authority of an isolated owner.
constexpr std::chrono::milliseconds k_leaving_limit{6500};
// The latest start of a speculative copy after its task's end was acknowledged, by a connected
// owner; an isolated owner continues for its authority.
constexpr std::chrono::seconds k_copy_grace{1};
constexpr std::chrono::milliseconds k_authority{4500};
// A listed end counts as taken note of after k_note_limit if the cell has been undisturbed for
// k_contact by then.
constexpr std::chrono::milliseconds k_note_limit{100};
constexpr std::chrono::seconds k_contact{3};
// The platform's limits for a task that must keep running: it has to run again within 3 s. That
// time begins 6 s after its last run and once the cell has been undisturbed for 4 s, where a fault
// counts for 3 s after its end.
constexpr std::chrono::seconds k_after_last_run{6};
constexpr std::chrono::seconds k_undisturbed{3 + 4};
constexpr std::chrono::seconds k_restart_limit{3};
// A task that was running while k_crashes_to_give_up workers crashed may be given up. A task that
// crashes its workers may be started twice more after the third crash, and k_starts_over_limit
// starts are a violation.
constexpr std::size_t k_crashes_to_give_up = 2;
constexpr std::size_t k_crash_limit = 3;
constexpr std::size_t k_starts_over_limit = 3;
// A workspace may exceed its limit by this fraction and by one task more.
constexpr double k_workspace_overage = 0.1;

// Whether any amount is above its limit, or at it; 0 is no limit.
bool exceeds(const common::resources& used, const common::resources& limit)
{
  return (limit.cpu_millis > 0 && used.cpu_millis > limit.cpu_millis) ||
         (limit.memory_mib > 0 && used.memory_mib > limit.memory_mib) ||
         (limit.accelerators > 0 && used.accelerators > limit.accelerators);
}

bool reaches(const common::resources& used, const common::resources& limit)
{
  return (limit.cpu_millis > 0 && used.cpu_millis >= limit.cpu_millis) ||
         (limit.memory_mib > 0 && used.memory_mib >= limit.memory_mib) ||
         (limit.accelerators > 0 && used.accelerators >= limit.accelerators);
}

std::string run_text(const observed_start& start)
{
  return "run " + std::to_string(start.run) + " on " + start.worker;
}
} // namespace

void run_judge::violate(const std::string& rule, const task_ref& task, const std::string& message)
{
  m_violations.push_back(rule + ": " + task.job + "." + std::to_string(task.place.cycle) + "." +
                         std::to_string(task.place.step) + "." + std::to_string(task.place.index) +
                         ": " + message);
  common::log_request("judge_violation", task.job, {{"what", m_violations.back()}});
}

void run_judge::submitted(const std::string& job, const jobs::job_spec& spec,
                          std::uint32_t max_attempts)
{
  observed_job& observed = m_jobs[job];
  observed.spec = spec;
  observed.max_attempts = max_attempts;
}

void run_judge::answered(const std::string& job, unsigned status)
{
  observed_job& observed = m_jobs[job];
  observed.refused = status == 429 || status == 503;
  if (observed.refused)
    check_refusal(job, observed);
  observed.accepted = observed.accepted || (status >= 200 && status < 300);
}

void run_judge::tried(const std::string& job)
{
  m_jobs[job].refused = false;
}

// A refused job must not be stored as accepted and must never run.
void run_judge::check_refusal(const std::string& job, const observed_job& observed)
{
  if (observed.started)
    violate("REFUSED", {job, {}}, "it was refused although it has started");
  else if (observed.accepted)
    violate("REFUSED", {job, {}}, "it was refused although it had been accepted");
  else if (m_is_stored && m_is_stored(job))
    violate("REFUSED", {job, {}}, "it was refused although it is kept");
}

void run_judge::cancel_requested(const std::string& job)
{
  m_jobs[job].cancel_requested = true;
}

void run_judge::cancelled(const std::string& job, common::time_point at)
{
  m_jobs[job].cancelled_at = at;
}

void run_judge::shown(const std::string& job, jobs::job_state state,
                      std::optional<common::time_point> at)
{
  observed_job& observed = m_jobs[job];
  if (state == jobs::job_state::cancelled && !observed.cancel_requested)
    violate("LOST", {job, {}}, "shown as cancelled, which nobody asked for");
  if (state == jobs::job_state::failed)
    check_failed(job, observed);
  if (state != jobs::job_state::completed)
    return;
  if (!observed.completed_at)
    observed.completed_at = at;
  for (std::uint32_t cycle = 0; cycle < observed.spec.cycles(); ++cycle)
  {
    for (std::uint32_t step = 0; step < observed.spec.steps.size(); ++step)
    {
      if (!step_done(job, observed, cycle, step))
        violate("MIXED", {job, {cycle, step, 0}}, "shown as completed, but this step is not");
    }
  }
}

bool run_judge::out_of_attempts(const std::string& job, const observed_job& observed) const
{
  // A gang's failures are counted at its first member.
  std::map<task_ref, std::set<run_number>> failures;
  for (auto each = m_tasks.lower_bound({job, {}}); each != m_tasks.end() && each->first.job == job;
       ++each)
  {
    task_ref counted = each->first;
    if (observed.spec.steps[counted.place.step].gang)
      counted.place.index = 0;
    failures[counted].insert(each->second.failures.begin(), each->second.failures.end());
  }
  return std::any_of(failures.begin(), failures.end(),
                     [&observed](const auto& each)
                     { return each.second.size() >= observed.max_attempts; });
}

// A job may fail because its attempts are used up or because one of its tasks crashes workers. A
// job that only ran on workers which other jobs crashed must still be completed.
void run_judge::check_failed(const std::string& job, const observed_job& observed)
{
  if (out_of_attempts(job, observed))
    return;
  bool crashes = false;
  bool causes_crashes = false;
  for (auto each = m_tasks.lower_bound({job, {}}); each != m_tasks.end() && each->first.job == job;
       ++each)
  {
    crashes |= each->second.crashes >= k_crashes_to_give_up;
    causes_crashes |= each->second.crashes_workers;
  }
  if (!crashes)
    violate("LOST", {job, {}}, "shown as failed, without attempts or crashes that explain it");
  else if (!causes_crashes)
    violate("INNOCENT", {job, {}}, "shown as failed, and others have crashed its workers");
}

bool run_judge::step_done(const std::string& job, const observed_job& of, std::uint32_t cycle,
                          std::uint32_t step) const
{
  const jobs::step_spec& spec = of.spec.steps[step];
  std::uint32_t done = 0;
  for (std::uint32_t index = 0; index < spec.count; ++index)
  {
    const auto found = m_tasks.find({job, {cycle, step, index}});
    done += found != m_tasks.end() && !found->second.done.empty() ? 1 : 0;
  }
  return spec.gang ? done > 0 : done == spec.count;
}

void run_judge::check_start(const observed_job& job, const observed_start& start)
{
  const auto& place = start.task.place;
  const jobs::step_spec& spec = job.spec.steps[place.step];
  const observed_task& task = m_tasks[start.task];
  if (start.payload != job.spec.payload)
    violate("UNASKED", start.task, "another payload");
  if (!start.checkpoint.empty() && !task.checkpoints.contains(start.checkpoint) && !spec.gang)
    violate("UNASKED", start.task, "a checkpoint that is not its own");
  if (!start.late && job.cancelled_at && start.at > *job.cancelled_at + k_cancel_limit)
    violate("UNASKED", start.task, "started after its job was cancelled");
  if (!spec.speculative && !task.active.empty())
    violate("TWICE", start.task,
            "run " + std::to_string(start.run) + " on " + start.worker + " beside run " +
                std::to_string(task.active.begin()->first) + " on " +
                task.active.begin()->second.worker);
  check_done(spec, start);
  check_completed(job, start);
  // Only for copies is the limit one in time.
  if (task.failures_acknowledged.size() >= job.max_attempts && !spec.long_running &&
      !(spec.speculative && start.late))
    violate("BUDGET", start.task, "more attempts than allowed");
  for (const std::uint32_t needed : spec.depends_on)
  {
    if (!step_done(start.task.job, job, place.cycle, needed))
      violate("ORDER", start.task, "before step " + std::to_string(needed) + " was done");
  }
}

common::duration run_judge::copy_grace() const
{
  return k_copy_grace + (m_instances_connected ? common::duration{0} : k_authority);
}

void run_judge::check_completed(const observed_job& job, const observed_start& start)
{
  if (!start.late && job.completed_at && start.at > *job.completed_at + copy_grace())
    violate("TWICE", start.task, "started after its job was shown as completed");
}

bool run_judge::undisturbed(common::time_point at) const
{
  return !m_disruptions.empty() &&
         std::none_of(m_disruptions.begin(), m_disruptions.end(),
                      [at](const auto& each)
                      { return each.first <= at && each.second >= at - k_contact; });
}

std::optional<common::time_point> run_judge::noted_by_list(const pending_end& end,
                                                           common::time_point by) const
{
  for (const common::time_point listed : end.listed)
  {
    const common::time_point noted = listed + k_note_limit;
    if (noted < by && undisturbed(noted))
      return noted;
  }
  return std::nullopt;
}

// A speculative copy may start within copy_grace(), or later if its request was carried out late;
// nothing else may start once an end is taken note of.
void run_judge::check_done(const jobs::step_spec& spec, const observed_start& start)
{
  if (spec.long_running)
    return;
  const observed_task& task = m_tasks[start.task];
  std::optional<common::time_point> done = task.done_acknowledged;
  std::string noted = "was acknowledged";
  for (const pending_end& each : task.pending_ends)
  {
    const auto by_list = noted_by_list(each, start.at);
    if (!by_list || (done && *done <= *by_list))
      continue;
    done = by_list;
    noted = "had been listed long enough";
  }
  if (!done)
  {
    if (!spec.speculative)
      record_later_start(start);
    return;
  }
  if (!spec.speculative)
    violate("TWICE", start.task,
            run_text(start) + " started after its end " + noted +
                (start.late_at_new_incarnation ? ", by a late order to a life that nobody had held"
                                               : ""));
  else if (!start.late && start.at > *done + copy_grace())
    violate("TWICE", start.task, "a copy started long after its end " + noted);
}

void run_judge::record_later_start(const observed_start& start)
{
  for (pending_end& each : m_tasks[start.task].pending_ends)
    each.later_starts.push_back(run_text(start));
}

void run_judge::listed(const task_ref& task, run_number run, const std::string& worker,
                       common::time_point at)
{
  for (pending_end& each : m_tasks[task].pending_ends)
  {
    if (each.run == run && each.worker == worker)
      each.listed.push_back(at);
  }
}

void run_judge::lease_lapsed(const std::string& worker, common::time_point at)
{
  for (auto& [task, observed] : m_tasks)
    std::erase_if(observed.pending_ends, [&](const pending_end& each)
                  { return each.worker == worker && !noted_by_list(each, at); });
}

void run_judge::disrupted(common::time_point from, common::time_point until)
{
  m_disruptions.emplace_back(from, until);
}

void run_judge::started(const observed_start& start)
{
  ++m_starts;
  common::log_request("judge_started", start.task.job,
                      {{"step", start.task.place.step},
                       {"task", start.task.place.index},
                       {"run", start.run},
                       {"worker", start.worker},
                       {"late", start.late},
                       {"late_at_new_life", start.late_at_new_incarnation}});
  const auto found = m_jobs.find(start.task.job);
  if (found == m_jobs.end())
  {
    violate("UNASKED", start.task, "no such job was handed in");
    return;
  }
  if (found->second.refused)
    violate("REFUSED", start.task, "started after it was refused, and not handed in since");
  check_start(found->second, start);
  check_leaving(start);
  check_entry(start);
  check_crashes(start);
  found->second.started = true;
  m_tasks[start.task].active[start.run] = {start.worker, start.at};
  check_workspace(found->second, start);
}

common::resources run_judge::used_by(const std::string& workspace) const
{
  common::resources used;
  for (const auto& [task, observed] : m_tasks)
  {
    if (observed.active.empty())
      continue;
    const observed_job& job = m_jobs.at(task.job);
    if (job.workspace == workspace)
      used += common::scaled(job.spec.steps[task.place.step].demand,
                             static_cast<double>(observed.active.size()));
  }
  return used;
}

// The limit is none in time, so it binds starts that were carried out late as well.
void run_judge::check_workspace(const observed_job& job, const observed_start& start)
{
  if (job.workspace.empty() || !m_workspace_limits)
    return;
  const common::resources limit = m_workspace_limits(job.workspace, start.at);
  const common::resources before =
      used_by(job.workspace) - job.spec.steps[start.task.place.step].demand;
  if (!exceeds(before, common::scaled(limit, 1.0 + k_workspace_overage)))
    return;
  violate("QUOTA", start.task,
          job.workspace + " has " + std::to_string(before.cpu_millis) + " of " +
              std::to_string(limit.cpu_millis) + " thousandths of a core, " +
              std::to_string(before.memory_mib) + " of " + std::to_string(limit.memory_mib) +
              " MiB and " + std::to_string(before.accelerators) + " of " +
              std::to_string(limit.accelerators) + " accelerators before this start" +
              (start.late ? ", which was carried out late" : ""));
}

bool run_judge::below_half_of_limit(const observed_job& job, common::time_point now) const
{
  if (job.workspace.empty() || !m_workspace_limits)
    return true;
  const common::resources twice = common::scaled(used_by(job.workspace), 2.0);
  return !reaches(twice, m_workspace_limits(job.workspace, now));
}

void run_judge::check_leaving(const observed_start& start)
{
  const auto leaving = m_leaving.find(start.worker);
  if (leaving != m_leaving.end() && start.at > leaving->second + k_leaving_limit)
    violate("DRAIN", start.task, "started on " + start.worker + ", which is about to leave");
}

void run_judge::check_entry(const observed_start& start)
{
  const auto broken = m_corrupt_entries.find(start.worker);
  if (broken != m_corrupt_entries.end() && start.at > broken->second + k_leaving_limit)
    violate("ENTRY", start.task, "started on " + start.worker + ", whose entry is not valid");
}

void run_judge::check_crashes(const observed_start& start)
{
  observed_task& task = m_tasks[start.task];
  if (!task.crashes_workers || task.crashes < k_crash_limit)
    return;
  if (++task.starts_over_limit == k_starts_over_limit)
    violate("BUDGET", start.task, "started three times more after three workers had crashed");
}

void run_judge::worker_crashed(const std::string& worker)
{
  common::log_process("judge_worker_crashed", {{"worker", worker}});
  for (auto& [task, observed] : m_tasks)
  {
    const bool there =
        std::any_of(observed.active.begin(), observed.active.end(),
                    [&worker](const auto& each) { return each.second.worker == worker; });
    observed.crashes += there ? 1 : 0;
  }
}

void run_judge::entry_corrupted(const std::string& worker, common::time_point at)
{
  m_corrupt_entries.emplace(worker, at);
}

void run_judge::entry_restored(const std::string& worker)
{
  m_corrupt_entries.erase(worker);
}

void run_judge::worker_leaving(const std::string& worker, common::time_point at)
{
  m_leaving.emplace(worker, at);
}

void run_judge::ended(const task_ref& task, run_number run, const std::string& worker,
                      run_outcome how)
{
  m_lapsed += how == run_outcome::lapsed ? 1 : 0;
  common::log_request("judge_ended", task.job,
                      {{"step", task.place.step},
                       {"task", task.place.index},
                       {"run", run},
                       {"worker", worker},
                       {"how", scheduling::to_text(how)}});
  observed_task& observed = m_tasks[task];
  const auto found = observed.active.find(run);
  if (found != observed.active.end() && found->second.worker == worker)
    observed.active.erase(found);
  if (how == run_outcome::done)
  {
    observed.done.insert(run);
    observed.pending_ends.push_back({run, worker, {}, {}});
  }
  if (how == run_outcome::failed)
    observed.failures.insert(run);
}

void run_judge::saved(const task_ref& task, const std::string& checkpoint)
{
  m_tasks[task].checkpoints.insert(checkpoint);
}

void run_judge::acknowledged(const task_ref& task, run_number run, const std::string& worker,
                             run_outcome how, common::time_point at)
{
  common::log_request("judge_acknowledged", task.job,
                      {{"step", task.place.step}, {"task", task.place.index}, {"run", run}});
  observed_task& observed = m_tasks[task];
  common::time_point noted = at;
  const auto pending = std::find_if(observed.pending_ends.begin(), observed.pending_ends.end(),
                                    [&](const pending_end& each)
                                    { return each.run == run && each.worker == worker; });
  if (pending != observed.pending_ends.end())
  {
    const std::string cause = " started after the end of run " + std::to_string(run) + " on " +
                              worker + ", which was acknowledged later";
    for (const std::string& each : pending->later_starts)
      violate("TWICE", task, std::string(each).append(cause));
    noted = noted_by_list(*pending, at).value_or(at);
    observed.pending_ends.erase(pending);
  }
  if (how == run_outcome::done)
    observed.done_acknowledged = std::min(noted, observed.done_acknowledged.value_or(noted));
  if (how == run_outcome::failed)
    observed.failures_acknowledged.insert(run);
}

void run_judge::worker_gone(const std::string& worker)
{
  for (auto& [task, observed] : m_tasks)
    std::erase_if(observed.active,
                  [&worker](const auto& each) { return each.second.worker == worker; });
}

void run_judge::overloaded(const std::string& worker, const std::string& message)
{
  m_violations.push_back("LIMIT: " + worker + ": " + message);
  common::log_process("judge_violation", {{"what", m_violations.back()}});
}

bool run_judge::has_free_capacity(const std::string& job,
                                  const std::vector<usable_worker>& usable) const
{
  const jobs::step_spec& step = m_jobs.at(job).spec.steps.front();
  const std::map<std::string, std::uint32_t> of_step = tasks_by_worker(job, 0, 0);
  const auto may_take = [&](const std::string& worker)
  {
    const auto running = of_step.find(worker);
    const bool at_limit = step.max_tasks_per_worker > 0 && running != of_step.end() &&
                          running->second >= step.max_tasks_per_worker;
    return !at_limit && (!m_permitted || m_permitted({job, {}}, worker));
  };
  std::map<std::string, std::int64_t> used;
  for (const auto& [task, observed] : m_tasks)
  {
    for (const auto& [number, run] : observed.active)
      used[run.worker] += m_jobs.at(task.job).spec.steps[task.place.step].demand.cpu_millis;
  }
  return std::any_of(usable.begin(), usable.end(),
                     [&](const usable_worker& each)
                     {
                       return each.capacity.cpu_millis - used[each.id] >=
                                  2 * step.demand.cpu_millis &&
                              may_take(each.id);
                     });
}

void run_judge::check_long_running(const std::vector<usable_worker>& usable, common::time_point now,
                                   common::time_point disturbed_until)
{
  const bool cell_undisturbed = now - disturbed_until >= k_undisturbed;
  for (const std::string& id : m_long_running)
  {
    const observed_job& job = m_jobs.at(id);
    if (!job.accepted || !job.started)
      continue;
    const bool capacity_free = has_free_capacity(id, usable) && below_half_of_limit(job, now);
    for (std::uint32_t index = 0; index < job.spec.steps.front().count; ++index)
    {
      const task_ref ref{id, {0, 0, index}};
      observed_task& task = m_tasks[ref];
      const bool idle = task.active.empty();
      task.idle_since = idle ? task.idle_since.value_or(now) : std::optional<common::time_point>();
      const bool due =
          idle && now - *task.idle_since >= k_after_last_run && cell_undisturbed && capacity_free;
      task.due_since = due ? task.due_since.value_or(now) : std::optional<common::time_point>();
      if (!due || now - *task.due_since < k_restart_limit)
        continue;
      violate("LOST", ref, "is to last and does not run, with room for it");
      task.due_since = now; // report at most once per k_restart_limit
    }
  }
}

void run_judge::check_cancelled_gone(common::time_point by)
{
  for (auto& [task, observed] : m_tasks)
  {
    const auto job = m_jobs.find(task.job);
    if (job == m_jobs.end() || !job->second.cancelled_at || *job->second.cancelled_at > by)
      continue;
    for (auto& [number, run] : observed.active)
    {
      if (run.begun <= by && !std::exchange(run.reported, true))
        violate("UNASKED", task,
                "run " + std::to_string(number) + " goes on at " + run.worker +
                    " although its job is cancelled");
    }
  }
}

void run_judge::check_all_ended(const std::map<std::string, jobs::job_state>& states)
{
  for (const auto& [id, job] : m_jobs)
  {
    if (!job.accepted)
      continue;
    const auto found = states.find(id);
    if (found == states.end())
      violate("LOST", {id, {}}, "accepted, and its state is not known");
    else if (job.cancel_requested || job.spec.long_running())
      continue;
    else if (!jobs::is_final(found->second))
      violate("LOST", {id, {}}, "accepted, and still " + std::string(to_text(found->second)));
  }
}

std::size_t run_judge::active_runs() const
{
  std::size_t runs = 0;
  for (const auto& [task, observed] : m_tasks)
    runs += observed.active.size();
  return runs;
}

bool run_judge::has_finite_runs() const
{
  return std::any_of(m_tasks.begin(), m_tasks.end(),
                     [this](const auto& each) {
                       return !each.second.active.empty() &&
                              !m_jobs.at(each.first.job).spec.long_running();
                     });
}

std::vector<task_ref> run_judge::active_tasks() const
{
  std::vector<task_ref> tasks;
  for (const auto& [task, observed] : m_tasks)
  {
    if (!observed.active.empty())
      tasks.push_back(task);
  }
  return tasks;
}

std::vector<std::string> run_judge::started_jobs() const
{
  std::vector<std::string> started;
  for (const auto& [id, job] : m_jobs)
  {
    if (job.started)
      started.push_back(id);
  }
  return started;
}

bool run_judge::waits(const std::string& job) const
{
  const auto found = m_jobs.find(job);
  return found != m_jobs.end() && found->second.accepted && !found->second.started &&
         !found->second.cancel_requested;
}

std::set<std::string> run_judge::busy_workers() const
{
  std::set<std::string> workers;
  for (const auto& [task, observed] : m_tasks)
  {
    for (const auto& [number, run] : observed.active)
      workers.insert(run.worker);
  }
  return workers;
}

std::map<std::string, std::uint32_t>
run_judge::tasks_by_worker(const std::string& job, std::uint32_t cycle, std::uint32_t step) const
{
  std::map<std::string, std::uint32_t> tasks;
  for (auto each = m_tasks.lower_bound({job, {cycle, step, 0}});
       each != m_tasks.end() && each->first.job == job && each->first.place.cycle == cycle &&
       each->first.place.step == step;
       ++each)
  {
    for (const auto& [number, run] : each->second.active)
      ++tasks[run.worker];
  }
  return tasks;
}

std::size_t run_judge::accepted_jobs() const
{
  return static_cast<std::size_t>(std::count_if(
      m_jobs.begin(), m_jobs.end(), [](const auto& each) { return each.second.accepted; }));
}
} // namespace yardhill::model
