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
// An acknowledged cancellation has to have reached the workers by then; an owner that is cut off
// does not hear of it and may go on for its authority (4.5 s) beyond the usual 3 s.
constexpr std::chrono::milliseconds k_cancel_time{7500};
// Nothing starts on a leaving worker, or one whose entry is not valid, any more by then: the usual
// 2 s and the authority of an owner that is cut off.
constexpr std::chrono::milliseconds k_leaving_time{6500};
// A copy starts no later than this after its task's end was acknowledged, by an owner that is in
// touch; one that is cut off goes on for its authority.
constexpr std::chrono::seconds k_copy_late{1};
constexpr std::chrono::milliseconds k_authority{4500};
// The platform's bounds for a task that is to last: it runs again within 3 s that begin 6 s after
// its last run, and after 4 calm seconds; a trouble counts for 3 s after its end.
constexpr std::chrono::seconds k_after_last_run{6};
constexpr std::chrono::seconds k_calm{3 + 4};
constexpr std::chrono::seconds k_run_again{3};
// A task under which so many workers have crashed may be given up, and one that crashes them may be
// started twice more after the third.
constexpr std::size_t k_crashes_to_give_up = 2;
constexpr std::size_t k_crashes_bounded = 3;
constexpr std::size_t k_starts_beyond = 3;
} // namespace

void run_judge::violate(const std::string& rule, const task_ref& task, const std::string& what)
{
  m_violations.push_back(rule + ": " + task.job + "." + std::to_string(task.place.cycle) + "." +
                         std::to_string(task.place.step) + "." + std::to_string(task.place.index) +
                         ": " + what);
  common::log_request("judge_violation", task.job, {{"what", m_violations.back()}});
}

void run_judge::submitted(const std::string& job, const jobs::job_spec& spec,
                          std::uint32_t max_attempts)
{
  seen_job& seen = m_jobs[job];
  seen.spec = spec;
  seen.max_attempts = max_attempts;
}

void run_judge::answered(const std::string& job, unsigned status)
{
  seen_job& seen = m_jobs[job];
  seen.refused = status == 429 || status == 503;
  if (seen.refused)
    check_refusal(job, seen);
  seen.accepted = seen.accepted || (status >= 200 && status < 300);
}

void run_judge::tried(const std::string& job)
{
  m_jobs[job].refused = false;
}

// A refusal is a promise about the job: it is not taken and never runs.
void run_judge::check_refusal(const std::string& job, const seen_job& seen)
{
  if (seen.started)
    violate("REFUSED", {job, {}}, "it was refused although it has started");
  else if (seen.accepted)
    violate("REFUSED", {job, {}}, "it was refused although it had been accepted");
  else if (m_kept && m_kept(job))
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
  seen_job& seen = m_jobs[job];
  if (state == jobs::job_state::cancelled && !seen.cancel_requested)
    violate("LOST", {job, {}}, "shown as cancelled, which nobody asked for");
  if (state == jobs::job_state::failed)
    check_failed(job, seen);
  if (state != jobs::job_state::completed)
    return;
  if (!seen.completed_at)
    seen.completed_at = at;
  for (std::uint32_t cycle = 0; cycle < seen.spec.cycles(); ++cycle)
  {
    for (std::uint32_t step = 0; step < seen.spec.steps.size(); ++step)
    {
      if (!step_done(job, seen, cycle, step))
        violate("MIXED", {job, {cycle, step, 0}}, "shown as completed, but this step is not");
    }
  }
}

bool run_judge::out_of_attempts(const std::string& job, const seen_job& seen) const
{
  std::map<task_ref, std::set<run_number>> failures; // of a gang at its first member
  for (auto each = m_tasks.lower_bound({job, {}}); each != m_tasks.end() && each->first.job == job;
       ++each)
  {
    task_ref counted = each->first;
    if (seen.spec.steps[counted.place.step].gang)
      counted.place.index = 0;
    failures[counted].insert(each->second.failures.begin(), each->second.failures.end());
  }
  return std::any_of(failures.begin(), failures.end(),
                     [&seen](const auto& each) { return each.second.size() >= seen.max_attempts; });
}

// A job fails by its attempts, or since a task of it crashes workers; one that was on workers which
// others have crashed must still be done.
void run_judge::check_failed(const std::string& job, const seen_job& seen)
{
  if (out_of_attempts(job, seen))
    return;
  bool crashes = false;
  bool guilty = false;
  for (auto each = m_tasks.lower_bound({job, {}}); each != m_tasks.end() && each->first.job == job;
       ++each)
  {
    crashes |= each->second.crashes >= k_crashes_to_give_up;
    guilty |= each->second.crashes_workers;
  }
  if (!crashes)
    violate("LOST", {job, {}}, "shown as failed, without attempts or crashes that explain it");
  else if (!guilty)
    violate("INNOCENT", {job, {}}, "shown as failed, and others have crashed its workers");
}

bool run_judge::step_done(const std::string& job, const seen_job& of, std::uint32_t cycle,
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

void run_judge::check_start(const seen_job& job, const observed_start& start)
{
  const auto& place = start.task.place;
  const jobs::step_spec& spec = job.spec.steps[place.step];
  const seen_task& task = m_tasks[start.task];
  if (start.payload != job.spec.payload)
    violate("UNASKED", start.task, "another payload");
  if (!start.checkpoint.empty() && !task.checkpoints.contains(start.checkpoint) && !spec.gang)
    violate("UNASKED", start.task, "a checkpoint that is not its own");
  if (job.cancelled_at && start.at > *job.cancelled_at + k_cancel_time)
    violate("UNASKED", start.task, "started after its job was cancelled");
  if (!spec.speculative && !task.active.empty())
    violate("TWICE", start.task,
            "run " + std::to_string(start.run) + " on " + start.worker + " beside run " +
                std::to_string(task.active.begin()->first) + " on " +
                task.active.begin()->second.worker);
  check_done(spec, start);
  check_completed(job, start);
  if (task.failures_acknowledged.size() >= job.max_attempts && !spec.long_running)
    violate("BUDGET", start.task, "more attempts than allowed");
  for (const std::uint32_t needed : spec.depends_on)
  {
    if (!step_done(start.task.job, job, place.cycle, needed))
      violate("ORDER", start.task, "before step " + std::to_string(needed) + " was done");
  }
}

common::duration run_judge::copy_late() const
{
  return k_copy_late + (m_in_touch ? common::duration{0} : k_authority);
}

void run_judge::check_completed(const seen_job& job, const observed_start& start)
{
  if (job.completed_at && start.at > *job.completed_at + copy_late())
    violate("TWICE", start.task, "started after its job was shown as completed");
}

// A copy may come a little late; nothing else begins once an end is acknowledged.
void run_judge::check_done(const jobs::step_spec& spec, const observed_start& start)
{
  const auto& done = m_tasks[start.task].done_acknowledged;
  if (spec.long_running || !done)
    return;
  if (!spec.speculative)
    violate("TWICE", start.task,
            "run " + std::to_string(start.run) + " on " + start.worker +
                " started after its end was acknowledged" +
                (start.late_at_new_life ? ", by a late order to a life that nobody had held" : ""));
  else if (start.at > *done + copy_late())
    violate("TWICE", start.task, "a copy started long after its end was acknowledged");
}

void run_judge::started(const observed_start& start)
{
  ++m_starts;
  common::log_request("judge_started", start.task.job,
                      {{"step", start.task.place.step},
                       {"task", start.task.place.index},
                       {"run", start.run},
                       {"worker", start.worker},
                       {"late_at_new_life", start.late_at_new_life}});
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
}

void run_judge::check_leaving(const observed_start& start)
{
  const auto leaving = m_leaving.find(start.worker);
  if (leaving != m_leaving.end() && start.at > leaving->second + k_leaving_time)
    violate("DRAIN", start.task, "started on " + start.worker + ", which is about to leave");
}

void run_judge::check_entry(const observed_start& start)
{
  const auto broken = m_broken_entries.find(start.worker);
  if (broken != m_broken_entries.end() && start.at > broken->second + k_leaving_time)
    violate("ENTRY", start.task, "started on " + start.worker + ", whose entry is not valid");
}

void run_judge::check_crashes(const observed_start& start)
{
  seen_task& task = m_tasks[start.task];
  if (!task.crashes_workers || task.crashes < k_crashes_bounded)
    return;
  if (++task.starts_beyond == k_starts_beyond)
    violate("BUDGET", start.task, "started three times more after three workers had crashed");
}

void run_judge::worker_crashed(const std::string& worker)
{
  common::log_process("judge_worker_crashed", {{"worker", worker}});
  for (auto& [task, seen] : m_tasks)
  {
    const bool there =
        std::any_of(seen.active.begin(), seen.active.end(),
                    [&worker](const auto& each) { return each.second.worker == worker; });
    seen.crashes += there ? 1 : 0;
  }
}

void run_judge::entry_broken(const std::string& worker, common::time_point at)
{
  m_broken_entries.emplace(worker, at);
}

void run_judge::entry_whole(const std::string& worker)
{
  m_broken_entries.erase(worker);
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
  seen_task& seen = m_tasks[task];
  const auto found = seen.active.find(run);
  if (found != seen.active.end() && found->second.worker == worker)
    seen.active.erase(found);
  if (how == run_outcome::done)
    seen.done.insert(run);
  if (how == run_outcome::failed)
    seen.failures.insert(run);
}

void run_judge::saved(const task_ref& task, const std::string& checkpoint)
{
  m_tasks[task].checkpoints.insert(checkpoint);
}

void run_judge::acknowledged(const task_ref& task, run_number run, run_outcome how,
                             common::time_point at)
{
  common::log_request("judge_acknowledged", task.job,
                      {{"step", task.place.step}, {"task", task.place.index}, {"run", run}});
  seen_task& seen = m_tasks[task];
  if (how == run_outcome::done)
    seen.done_acknowledged = std::min(at, seen.done_acknowledged.value_or(at));
  if (how == run_outcome::failed)
    seen.failures_acknowledged.insert(run);
}

void run_judge::worker_gone(const std::string& worker)
{
  for (auto& [task, seen] : m_tasks)
    std::erase_if(seen.active,
                  [&worker](const auto& each) { return each.second.worker == worker; });
}

void run_judge::overloaded(const std::string& worker, const std::string& what)
{
  m_violations.push_back("LIMIT: " + worker + ": " + what);
  common::log_process("judge_violation", {{"what", m_violations.back()}});
}

bool run_judge::has_room(const jobs::step_spec& step,
                         const std::vector<usable_worker>& usable) const
{
  std::map<std::string, std::int64_t> used;
  for (const auto& [task, seen] : m_tasks)
  {
    for (const auto& [number, run] : seen.active)
      used[run.worker] += m_jobs.at(task.job).spec.steps[task.place.step].demand.cpu_millis;
  }
  return std::any_of(
      usable.begin(), usable.end(),
      [&](const usable_worker& each)
      { return each.capacity.cpu_millis - used[each.id] >= 2 * step.demand.cpu_millis; });
}

void run_judge::check_lasting(const std::vector<usable_worker>& usable, common::time_point now,
                              common::time_point disturbed_until)
{
  const bool calm = now - disturbed_until >= k_calm;
  for (const std::string& id : m_lasting)
  {
    const seen_job& job = m_jobs.at(id);
    if (!job.accepted || !job.started)
      continue;
    const bool room = has_room(job.spec.steps.front(), usable);
    for (std::uint32_t index = 0; index < job.spec.steps.front().count; ++index)
    {
      const task_ref ref{id, {0, 0, index}};
      seen_task& task = m_tasks[ref];
      const bool idle = task.active.empty();
      task.idle_since = idle ? task.idle_since.value_or(now) : std::optional<common::time_point>();
      const bool due = idle && now - *task.idle_since >= k_after_last_run && calm && room;
      task.due_since = due ? task.due_since.value_or(now) : std::optional<common::time_point>();
      if (!due || now - *task.due_since < k_run_again)
        continue;
      violate("LOST", ref, "is to last and does not run, with room for it");
      task.due_since = now; // told once in a while
    }
  }
}

void run_judge::check_cancelled_gone(common::time_point by)
{
  for (auto& [task, seen] : m_tasks)
  {
    const auto job = m_jobs.find(task.job);
    if (job == m_jobs.end() || !job->second.cancelled_at || *job->second.cancelled_at > by)
      continue;
    for (auto& [number, run] : seen.active)
    {
      if (run.begun <= by && !std::exchange(run.told, true))
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
  for (const auto& [task, seen] : m_tasks)
    runs += seen.active.size();
  return runs;
}

bool run_judge::works() const
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
  for (const auto& [task, seen] : m_tasks)
  {
    if (!seen.active.empty())
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
  for (const auto& [task, seen] : m_tasks)
  {
    for (const auto& [number, run] : seen.active)
      workers.insert(run.worker);
  }
  return workers;
}

std::size_t run_judge::accepted_jobs() const
{
  return static_cast<std::size_t>(std::count_if(
      m_jobs.begin(), m_jobs.end(), [](const auto& each) { return each.second.accepted; }));
}
} // namespace yardhill::model
