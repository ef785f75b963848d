// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/WaitReport.h"

#include <algorithm>

#include "Common/EnumNames.h"
#include "Common/EventLog.h"

namespace yardhill::scheduling
{
namespace
{
constexpr auto k_reason_names = std::to_array<std::string_view>({"may_not_place",
                                                                 "unaccounted",
                                                                 "run_orphaned",
                                                                 "run_stopping",
                                                                 "run_silent",
                                                                 "run_unanswered",
                                                                 "run_unheld",
                                                                 "renewal",
                                                                 "gang",
                                                                 "trial_postponed",
                                                                 "announcement",
                                                                 "workspace_limit",
                                                                 "begin_mark",
                                                                 "unplaced",
                                                                 "no_worker",
                                                                 "worker_unusable",
                                                                 "other_zone",
                                                                 "worker_unsuitable",
                                                                 "already_there",
                                                                 "step_limit",
                                                                 "foreign_runs",
                                                                 "no_room",
                                                                 "unfit_for_trial",
                                                                 "reserved",
                                                                 "no_ticket",
                                                                 "turn"});
static_assert(k_reason_names.size() == static_cast<std::size_t>(wait_reason::count));

wait_reason reason_of(obstacle from)
{
  static constexpr std::array k_reasons{
      wait_reason::no_worker,         wait_reason::worker_unusable, wait_reason::other_zone,
      wait_reason::worker_unsuitable, wait_reason::already_there,   wait_reason::step_limit,
      wait_reason::foreign_runs,      wait_reason::no_room,         wait_reason::unfit_for_trial,
      wait_reason::reserved,          wait_reason::no_ticket,       wait_reason::turn};
  static_assert(k_reasons.size() == static_cast<std::size_t>(obstacle::none) + 1);
  return k_reasons.at(static_cast<std::size_t>(from));
}

task_wait wait_for(wait_reason reason)
{
  task_wait wait;
  wait.reason = reason;
  return wait;
}

task_wait wait_for(wait_reason reason, const worker_record& worker, time_point now)
{
  task_wait wait = wait_for(reason);
  wait.worker = worker.info.id.value;
  wait.zone = worker.info.zone;
  wait.workers = 1;
  wait.lease_remaining = worker.lease_end - now;
  wait.since_heard = now - std::max(worker.heard_at, worker.first_seen);
  return wait;
}

std::string mark_state(const step_begin_marks& begun)
{
  static constexpr auto k_mark_states = std::to_array<std::string_view>(
      {"not requested", "waits for a commit", "is being written", "is written for another zone"});
  const begin_mark mark =
      begun.all_zones_mark == begin_mark::none ? begun.mark : begun.all_zones_mark;
  return "the begin mark " + std::string(common::name_of(k_mark_states, mark));
}

std::string advice_state(const step_permits& permits, time_point now)
{
  if (permits.asking)
    return "an advice request is in flight";
  if (permits.ask_after > now)
    return "the last advice request had no reply or permitted no worker";
  return permits.permitted.empty() ? "no advice yet" : "no valid ticket";
}

std::string in_milliseconds(duration time)
{
  return std::to_string(common::to_milliseconds(time).count()) + " ms";
}

// For instance "no_budget; latest call 700 ms ago: 8 named, 2 of them known, reply after 640 ms: 2
// permitted, 0 usable".
std::string advice_history(const step_permits& permits, time_point now)
{
  static constexpr auto k_attempts = std::to_array<std::string_view>(
      {"not requested", "in_flight", "paused", "no_slot", "no_budget", "no_worker"});
  std::string text(common::name_of(k_attempts, permits.latest_attempt));
  if (!permits.latest_call)
    return text;
  const step_permits::call& call = *permits.latest_call;
  text += "; latest call " + in_milliseconds(now - call.sent) +
          " ago: " + std::to_string(call.named) + " named, " +
          std::to_string(call.known_permitted) + " of them known";
  if (call.replied)
    text += ", reply after " + in_milliseconds(*call.replied - call.sent) + ": " +
            std::to_string(call.permitted) + " permitted, " + std::to_string(call.usable) +
            " usable";
  return text;
}
} // namespace

const std::array<wait_report::wait_check, 4> wait_report::k_wait_checks{
    &wait_report::placing_disabled, &wait_report::unaccounted, &wait_report::stalled_run,
    &wait_report::held_back};

std::string_view to_text(wait_reason reason)
{
  return common::name_of(k_reason_names, reason);
}

wait_report::wait_report(scheduler_state& state, const start_rules& rules,
                         const crash_watch& crashes, const takeover_accounting& accounting,
                         const worker_holder& holder)
    : m_state(state), m_rules(rules), m_crashes(crashes), m_accounting(accounting), m_holder(holder)
{
}

void wait_report::update(time_point now)
{
  m_waiting.clear();
  m_reported.clear();
  for (const std::string& id : m_state.open)
  {
    job_record& job = *m_state.jobs.at(id);
    for (std::uint32_t c = 0; c < job.cycles().size(); ++c)
    {
      for (std::uint32_t s = 0; s < job.cycles()[c].steps.size(); ++s)
        find_waiting(job, c, s, now);
    }
  }
  if (m_waiting.empty())
    return;
  // Rotation: continues behind the task that was reported last.
  const auto next = std::find_if(m_waiting.begin(), m_waiting.end(),
                                 [this](const waiting_task& each) {
                                   return m_last_reported < task_ref{each.job->id(), each.place};
                                 });
  std::rotate(m_waiting.begin(), next, m_waiting.end());
  const std::size_t reported = std::min(k_max_reported, m_waiting.size());
  for (std::size_t i = 0; i < reported; ++i)
    report(m_waiting[i], now);
  report_summary(now);
}

void wait_report::find_waiting(job_record& job, std::uint32_t cycle, std::uint32_t step,
                               time_point now)
{
  step_record& record = job.cycles()[cycle].steps[step];
  if (!record.spec->long_running)
    return;
  const bool ready = job.ready(cycle, step, m_state.wall(now));
  for (std::uint32_t i = 0; i < record.tasks.size(); ++i)
  {
    task_record& task = record.tasks[i];
    if (!ready || task.phase == task_phase::done || is_running(task, now))
    {
      task.idle_since.reset();
      continue;
    }
    if (!task.idle_since)
      task.idle_since = now;
    if (now - *task.idle_since > k_report_after)
      m_waiting.push_back({&job, {cycle, step, i}, now - *task.idle_since});
  }
}

bool wait_report::is_running(const task_record& task, time_point now) const
{
  return std::any_of(task.runs.begin(), task.runs.end(),
                     [this, now](const run_record* run)
                     { return run_problem(*run, now) == wait_reason::count; });
}

wait_reason wait_report::run_problem(const run_record& run, time_point now) const
{
  if (run.orphaned)
    return wait_reason::run_orphaned;
  if (run.phase == run_phase::stopping)
    return wait_reason::run_stopping;
  if (run.worker->unresponsive)
    return wait_reason::run_silent;
  if (!run.listed && !run.start_answered)
    return wait_reason::run_unanswered;
  if (m_holder.overdue(*run.worker, now) > duration{0})
    return wait_reason::run_unheld;
  return wait_reason::count;
}

task_wait wait_report::wait_before_placement(const waiting_task& entry, time_point now) const
{
  for (const wait_check each : k_wait_checks)
  {
    if (auto found = (this->*each)(entry, now))
      return *std::move(found);
  }
  return wait_for(wait_reason::unplaced);
}

std::optional<task_wait> wait_report::placing_disabled(const waiting_task&, time_point now) const
{
  if (m_state.may_place(now))
    return std::nullopt;
  task_wait wait = wait_for(wait_reason::may_not_place);
  wait.lease_remaining = m_state.authority_end - now;
  wait.since_heard = now - m_state.confirmed;
  if (!m_state.may_act(now))
    wait.detail = "the owner's authority has ended";
  else
    wait.detail = m_state.placing_ended ? "the partition is being released"
                                        : "the first renewal is not written";
  return wait;
}

// If several workers may run the task, reports the one whose lease ends last.
std::optional<task_wait> wait_report::unaccounted(const waiting_task& entry, time_point now) const
{
  if (entry.job->task(entry.place).phase != task_phase::unaccounted)
    return std::nullopt;
  task_wait wait = wait_for(wait_reason::unaccounted);
  const std::vector<worker_id> holders = m_accounting.unheard_workers_of(*entry.job, entry.place);
  const worker_record* longest = nullptr;
  for (const worker_id& id : holders)
  {
    const worker_record* const worker = m_state.find_worker(id);
    if (worker != nullptr && (longest == nullptr || worker->lease_end > longest->lease_end))
      longest = worker;
  }
  if (longest != nullptr)
    wait = wait_for(wait_reason::unaccounted, *longest, now);
  wait.workers = holders.size();
  return wait;
}

std::optional<task_wait> wait_report::stalled_run(const waiting_task& entry, time_point now) const
{
  const task_record& task = entry.job->task(entry.place);
  if (task.runs.empty())
    return std::nullopt;
  const run_record& run = *task.runs.back();
  return wait_for(run_problem(run, now), *run.worker, now);
}

std::optional<task_wait> wait_report::held_back(const waiting_task& entry, time_point now) const
{
  const step_record& step = entry.job->step(entry.place);
  const task_record& task = entry.job->task(entry.place);
  if (m_state.awaits_renewal(task, now))
  {
    task_wait wait = wait_for(wait_reason::renewal);
    wait.since_heard = now - m_state.confirmed;
    return wait;
  }
  if (step.spec->gang && !step.all_wait())
    return wait_for(wait_reason::gang);
  if (!scheduler_state::within_workspace_limit(*entry.job, *step.spec))
  {
    task_wait wait = wait_for(wait_reason::workspace_limit);
    wait.detail = entry.job->account()->name;
    return wait;
  }
  if (m_crashes.postponed(task, now))
    return wait_for(wait_reason::trial_postponed);
  return std::nullopt;
}

// Reports the worker that passes most of the checks for a start.
task_wait wait_report::placement_wait(const waiting_task& entry, time_point now) const
{
  const step_record& step = entry.job->step(entry.place);
  const task_record& task = entry.job->task(entry.place);
  obstacle_counts counts;
  const worker_record* nearest = nullptr;
  obstacle nearest_obstacle = obstacle::not_permitted;
  for (const auto& [id, worker] : m_state.workers)
  {
    const obstacle found =
        m_rules.obstacle_at(*worker, *entry.job, entry.place, now, isolation::enforced);
    counts.add(found);
    if (nearest != nullptr && found <= nearest_obstacle)
      continue;
    nearest = worker.get();
    nearest_obstacle = found;
  }
  if (nearest == nullptr)
    return wait_for(wait_reason::no_worker);
  task_wait wait = wait_for(reason_of(nearest_obstacle), *nearest, now);
  wait.workers = counts.count(nearest_obstacle);
  if (entry.job->policy().advice)
    wait.advice = advice_history(step.permits, now);
  if (nearest_obstacle == obstacle::none && !step.begun.written_for(nearest->info.zone))
  {
    wait.reason = wait_reason::begin_mark;
    wait.detail = mark_state(step.begun);
  }
  else if (nearest_obstacle == obstacle::none && crash_watch::awaits_announcement(task))
    wait.reason = wait_reason::announcement;
  if (nearest_obstacle == obstacle::no_ticket)
    wait.detail = advice_state(step.permits, now);
  wait.detail += (wait.detail.empty() ? "" : "; ") + counts.text();
  return wait;
}

void wait_report::report(const waiting_task& entry, time_point now)
{
  task_wait wait = wait_before_placement(entry, now);
  if (wait.reason == wait_reason::unplaced)
    wait = placement_wait(entry, now);
  m_last_reported = {entry.job->id(), entry.place};
  common::log_request_always("lasting_task_waits", entry.job->id(),
                             {{"step", entry.place.step},
                              {"task", entry.place.index},
                              {"waited_ms", entry.waited},
                              {"wait", to_text(wait.reason)},
                              {"worker", wait.worker},
                              {"zone", wait.zone},
                              {"workers", wait.workers},
                              {"lease_left_ms", wait.lease_remaining},
                              {"unheard_ms", wait.since_heard},
                              {"advice", wait.advice},
                              {"detail", wait.detail}});
  m_reported.push_back({m_last_reported, entry.waited, std::move(wait)});
}

duration wait_report::longest() const
{
  duration longest{0};
  for (const waiting_task& each : m_waiting)
    longest = std::max(longest, each.waited);
  return longest;
}

void wait_report::report_summary(time_point now) const
{
  std::array<std::size_t, static_cast<std::size_t>(wait_reason::count)> counts{};
  for (const waiting_task& each : m_waiting)
    ++counts.at(static_cast<std::size_t>(wait_before_placement(each, now).reason));
  std::string by_wait;
  for (std::size_t i = 0; i < counts.size(); ++i)
  {
    if (counts.at(i) > 0)
      by_wait += (by_wait.empty() ? "" : ", ") + std::string(k_reason_names.at(i)) + " " +
                 std::to_string(counts.at(i));
  }
  common::log_process("lasting_tasks_wait", {{"tasks", m_waiting.size()},
                                             {"told", m_reported.size()},
                                             {"not_told", m_waiting.size() - m_reported.size()},
                                             {"longest_ms", longest()},
                                             {"by_wait", by_wait}});
}
} // namespace yardhill::scheduling
