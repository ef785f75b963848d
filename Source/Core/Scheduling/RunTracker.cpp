// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/RunTracker.h"

#include <algorithm>
#include <set>

#include "Common/EventLog.h"

namespace yardhill::scheduling
{
namespace
{
// Whether the run time depends on the worker's own speed alone. A run that was taken over (`sends`
// is 0) has an unknown start, one whose start was repeated an uncertain one. A run from a
// checkpoint does a part of the work. Other tasks delay one that uses idle processor time, and
// distant data one that has a data rack.
bool shows_worker_speed(const run_record& run)
{
  const jobs::step_spec& spec = run.spec();
  return !spec.long_running && !spec.uses_idle_cpu && run.sends == 1 &&
         run.job->task(run.place).checkpoint.empty() &&
         (spec.data_rack.empty() || spec.data_rack == run.worker->info.rack);
}
} // namespace

run_tracker::run_tracker(scheduler_state& state, crash_watch& crashes, copy_watch& copies)
    : m_state(state), m_crashes(crashes), m_copies(copies)
{
}

void run_tracker::on_start(const start_answer& answer, time_point now)
{
  if (answer.end == call_end::fenced)
  {
    m_state.record_fenced_reply(answer.worker, answer.token);
    if (m_state.fenced)
      return;
  }
  worker_record* const worker = m_state.find_worker(answer.worker);
  if (worker == nullptr)
    return;
  m_state.note_order(*worker, answer.end != call_end::unanswered, now);
  if (answer.end == call_end::unanswered)
  {
    worker->late_start_until =
        std::max(worker->late_start_until, answer.sent + m_state.options.late_start_window);
    m_state.supersede_token(*worker);
  }
  run_record* const run = m_state.find_run(answer.worker, answer.task, answer.run);
  // The answer to a start request does not show which incarnation sent it.
  if (run == nullptr || run->orphaned)
    return;
  run->answers += answer.end == call_end::unanswered ? 0 : 1;
  switch (answer.end)
  {
  case call_end::done:
    run->start_answered = now;
    run->job->set_known_begun();
    if (run->phase == run_phase::starting)
      run->phase = run_phase::running;
    return;
  case call_end::unanswered:
    m_state.metrics.add(common::retry_reason::start_unclear);
    return;
  case call_end::fenced:
    handle_superseded_start(*run, now);
    return;
  default:
    handle_refused_start(*run, answer.end, now);
  }
}

void run_tracker::handle_refused_start(run_record& run, call_end end, time_point now)
{
  worker_record& worker = *run.worker;
  m_state.metrics.add(common::retry_reason::start_refused);
  common::log_request("start_refused", run.job->id(),
                      {{"step", run.place.step},
                       {"task", run.place.index},
                       {"run", run.number},
                       {"worker", worker.info.id.value},
                       {"reason", to_text(end)},
                       {"sends", run.sends}});
  if (end == call_end::no_room)
    worker.avoid_until = now + m_state.options.no_room_pause;
  if (end == call_end::unhealthy)
    worker.avoid_until = now + m_state.options.unhealthy_pause;
  if (end == call_end::bad_ticket)
    run.job->step(run.place).permits.tickets.erase(worker.info.id);
  // If the start request was sent more than once, an earlier copy may have been carried out, which
  // the worker's lists will show. If the run number is outdated, the run has even ended.
  if (run.sends > 1 && end != call_end::unhealthy)
  {
    // Copies of a speculative task's start carry different lease ends, so one that came too late
    // says nothing about a later one.
    const bool permanent =
        end == call_end::bad_ticket || (end == call_end::too_late && !run.spec().speculative);
    if (permanent && !run.start_voided_at)
      run.start_voided_at = now;
    worker.hold_requested |= permanent || end == call_end::outdated;
    return;
  }
  if (run.sends > 1 || run.phase == run_phase::stopping)
    return;
  job_record& job = *run.job;
  const task_place place = run.place;
  const run_number number = run.number;
  const bool gang = run.spec().gang;
  m_state.remove_run(run);
  m_crashes.run_outcome_known(job, place, number);
  if (gang)
    stop_gang(job, place, number, now);
}

// The worker had already seen a newer token of this owner. Another copy, with that token, is sent
// at once.
void run_tracker::handle_superseded_start(run_record& run, time_point now)
{
  if (run.phase != run_phase::starting || run.sends != run.answers)
    return;
  run.last_sent = now - m_state.request_retry(run.sends);
}

void run_tracker::on_stop(const stop_answer& answer, time_point now)
{
  if (answer.end == call_end::fenced)
    m_state.record_fenced_reply(answer.worker, answer.token);
  worker_record* const worker = m_state.find_worker(answer.worker);
  if (worker == nullptr)
    return;
  m_state.note_order(*worker, answer.end != call_end::unanswered, now);
  run_record* const run = m_state.find_run(answer.worker, answer.task, answer.run);
  if (run != nullptr && !run->orphaned && answer.end == call_end::done)
    run->stop_answered = now;
}

void run_tracker::on_lists(worker_record& worker, const hold_answer& answer, time_point now)
{
  for (const listed_end& end : answer.ended)
  {
    if (end.number <= worker.seen)
      continue;
    apply_end(worker, end, now);
    worker.seen = end.number;
  }
  std::set<std::pair<task_ref, run_number>> foreign;
  for (const listed_run& listed : answer.running)
  {
    apply_running(worker, listed, now);
    if (m_state.find_run(worker.info.id, listed.task, listed.run) == nullptr)
      foreign.insert({listed.task, listed.run});
  }
  worker.foreign = std::move(foreign);
  remove_missing_runs(worker, answer, now);
}

void run_tracker::apply_end(worker_record& worker, const listed_end& end, time_point now)
{
  job_record* const job = m_state.find_job(end.task.job);
  if (job == nullptr || !job->contains(end.task.place))
    return;
  update_failure_count(worker, end, now);
  m_crashes.run_outcome_known(*job, end.task.place, end.run);
  job->set_known_begun();
  task_record& task = job->task(end.task.place);
  task.last_run = std::max(task.last_run, end.run);
  if (end.how != run_outcome::done && !end.checkpoint.empty() &&
      job->step(end.task.place).spec->checkpointing)
    task.checkpoint = end.checkpoint;
  if (end.how != run_outcome::done)
    common::log_request("run_ended", end.task.job,
                        {{"step", end.task.place.step},
                         {"task", end.task.place.index},
                         {"run", end.run},
                         {"worker", worker.info.id.value},
                         {"how", to_text(end.how)},
                         {"failures", task.failed_runs.size()},
                         {"checkpoint", !end.checkpoint.empty()}});
  time_point copies_until{};
  // This run is removed first, so that only runs that still go on are stopped below.
  if (run_record* const run = m_state.find_run(worker.info.id, end.task, end.run))
  {
    if (end.how == run_outcome::done && !run->spec().gang)
      learn_run_time(*run, now);
    if (run->sends > run->answers)
      copies_until = run->last_sent + m_state.options.late_start_window;
    m_state.remove_run(*run);
  }
  // The state of an ended job does not change; its last runs only release their resources.
  if (!job->ended())
  {
    m_state.mark_dirty(*job);
    if (end.how == run_outcome::done)
      task_done(*job, end.task.place, now);
    if (end.how == run_outcome::failed)
      task_failed(*job, end, now);
  }
  m_copies.record_end(worker, end, copies_until, now);
  if (end.how == run_outcome::done)
    check_complete(*job, now);
}

// Not called for gang members, whose end is determined by the slowest member. The speed is also
// learned while the worker counts as slow, but the queue's run times are not.
void run_tracker::learn_run_time(const run_record& run, time_point now)
{
  const std::string& queue = run.job->accepted().queue;
  const milliseconds estimate = run.spec().estimate;
  const worker_record& worker = *run.worker;
  const duration actual = now - run.begun;
  if (shows_worker_speed(run))
    m_state.speeds.record(worker.info.id, queue, m_state.runtimes.expected(queue, estimate), actual,
                          now);
  if (worker.slow_until <= now)
    m_state.runtimes.learn(queue, estimate, m_state.speeds.normalised(worker.info.id, actual));
}

void run_tracker::update_failure_count(worker_record& worker, const listed_end& end, time_point now)
{
  if (end.how == run_outcome::done)
    worker.consecutive_failures = 0;
  if (end.how != run_outcome::failed)
    return;
  ++worker.consecutive_failures;
  if (worker.consecutive_failures < m_state.options.failures_to_pause)
    return;
  worker.avoid_until = now + m_state.options.failing_pause;
  common::log_process("worker_paused", {{"worker", worker.info.id.value},
                                        {"failures_in_a_row", worker.consecutive_failures}});
}

void run_tracker::task_done(job_record& job, const task_place& place, time_point now)
{
  step_record& step = job.step(place);
  if (step.spec->long_running)
    return;
  m_state.metrics.add(common::counter::tasks_done);
  // The end of one member as done counts for the whole gang.
  const std::uint32_t first = step.spec->gang ? 0 : place.index;
  const std::uint32_t last = step.spec->gang ? step.spec->count - 1 : place.index;
  for (std::uint32_t index = first; index <= last; ++index)
  {
    const task_place member{place.cycle, place.step, index};
    job.set_phase(member, task_phase::done);
    if (step.spec->gang)
      continue;
    for (run_record* run : job.task(member).runs)
      m_state.request_stop(*run, now);
  }
  m_state.place_again = true;
}

void run_tracker::task_failed(job_record& job, const listed_end& end, time_point now)
{
  step_record& step = job.step(end.task.place);
  m_state.metrics.add(common::retry_reason::attempt_failed);
  // A gang's failures are counted at its first member.
  task_place counted_place = end.task.place;
  if (step.spec->gang)
    counted_place.index = 0;
  task_record& task = job.task(counted_place);
  // A long-running task is started again however often it fails.
  const bool counted_already = std::find(task.failed_runs.begin(), task.failed_runs.end(),
                                         end.run) != task.failed_runs.end();
  if (task.phase == task_phase::done || step.spec->long_running || counted_already)
    return;
  task.failed_runs.push_back(end.run);
  if (task.failed_runs.size() >= job.policy().max_attempts)
  {
    m_state.end_job(job, jobs::job_state::failed, now);
    return;
  }
  if (step.spec->gang)
    stop_gang(job, end.task.place, end.run, now);
}

void run_tracker::stop_gang(job_record& job, const task_place& place, run_number number,
                            time_point now)
{
  for (task_record& task : job.step(place).tasks)
  {
    for (run_record* run : task.runs)
    {
      if (run->number == number)
        m_state.request_stop(*run, now);
    }
  }
}

void run_tracker::apply_running(worker_record& worker, const listed_run& listed, time_point now)
{
  const auto found = worker.runs.find(listed.task);
  if (found != worker.runs.end() && found->second->number == listed.run)
  {
    run_record& run = *found->second;
    run.listed = true;
    run.orphaned = false;
    run.percent = listed.percent;
    run.load = listed.load;
    run.job->set_known_begun();
    if (!listed.checkpoint.empty())
      run.checkpoint = listed.checkpoint;
    if (!run.start_answered)
      run.start_answered = now;
    if (run.phase == run_phase::starting)
      run.phase = run_phase::running;
    m_crashes.run_still_running(run, now);
    return;
  }
  job_record* const job = m_state.find_job(listed.task.job);
  const bool wanted = job != nullptr && !job->ended() && job->contains(listed.task.place) &&
                      found == worker.runs.end();
  const task_phase phase = wanted ? job->task(listed.task.place).phase : task_phase::done;
  if (phase == task_phase::waiting || phase == task_phase::unaccounted)
    take_over_run(worker, *job, listed, now);
  else
    stop_unwanted_run(worker, listed, now);
}

void run_tracker::take_over_run(worker_record& worker, job_record& job, const listed_run& listed,
                                time_point now)
{
  run_record& run = m_state.add_run(job, listed.task.place, listed.run, worker, now);
  run.phase = run_phase::running;
  run.listed = true;
  run.start_answered = now;
  job.set_known_begun();
  run.percent = listed.percent;
  if (!listed.checkpoint.empty())
    run.checkpoint = listed.checkpoint;
  common::log_request("run_taken_over", job.id(),
                      {{"step", listed.task.place.step},
                       {"task", listed.task.place.index},
                       {"run", listed.run},
                       {"worker", worker.info.id.value}});
}

void run_tracker::stop_unwanted_run(worker_record& worker, const listed_run& listed, time_point now)
{
  common::log_request("unwanted_run_stopped", listed.task.job,
                      {{"step", listed.task.place.step},
                       {"task", listed.task.place.index},
                       {"run", listed.run},
                       {"worker", worker.info.id.value}});
  if (m_state.may_act(now))
    m_state.commands.emplace_back(
        stop_command{worker.info.id, worker.info.address, listed.task, listed.run, worker.token});
}

// Removes the runs that the lists should show but do not. While the list of ends may be cut off,
// that a run is not listed proves nothing.
void run_tracker::remove_missing_runs(worker_record& worker, const hold_answer& answer,
                                      time_point now)
{
  const auto listed = [&answer](const task_ref& task, run_number run)
  {
    return std::any_of(answer.running.begin(), answer.running.end(),
                       [&](const listed_run& each)
                       { return each.run == run && each.task == task; });
  };
  std::vector<run_record*> missing;
  for (const auto& [task, run] : worker.runs)
  {
    if (listed(task, run->number))
      continue;
    const bool started_before = run->start_answered && *run->start_answered < answer.sent;
    const bool stopped_before = run->stop_answered && *run->stop_answered < answer.sent;
    const bool voided_before = run->start_voided_at && *run->start_voided_at <= answer.sent;
    // The lists of a claimed incarnation show every request to earlier incarnations that it will
    // ever carry out, so an orphaned run that is not listed will not begin.
    if (run->orphaned || started_before || stopped_before || voided_before)
      missing.push_back(run.get());
  }
  const bool hidden = answer.more_ends && !missing.empty();
  if (hidden != worker.ends_hidden)
    common::log_process("worker_ends_hidden", {{"worker", worker.info.id.value},
                                               {"hidden", hidden},
                                               {"listed", answer.ended.size()},
                                               {"runs", missing.size()},
                                               {"kept", worker.kept_ends.size()}});
  worker.ends_hidden = hidden;
  if (hidden)
    return;
  for (run_record* run : missing)
  {
    common::log_request("run_missing", run->job->id(),
                        {{"step", run->place.step},
                         {"task", run->place.index},
                         {"run", run->number},
                         {"worker", worker.info.id.value},
                         {"orphaned", run->orphaned},
                         {"start_answered", run->start_answered.has_value()},
                         {"stop_answered", run->stop_answered.has_value()}});
    job_record& job = *run->job;
    const task_place place = run->place;
    const run_number number = run->number;
    const bool gang = run->spec().gang;
    m_state.remove_run(*run);
    m_crashes.run_outcome_known(job, place, number);
    if (gang)
      stop_gang(job, place, number, now);
  }
}

void run_tracker::check_complete(job_record& job, time_point now)
{
  if (!job.ended() && job.all_done())
    m_copies.complete(job, now);
}

void run_tracker::resend_requests(time_point now)
{
  if (!m_state.may_act(now))
    return;
  for (auto& [id, worker] : m_state.workers)
  {
    for (auto& [task, run] : worker->runs)
    {
      if (run->last_sent + m_state.request_retry(run->sends) > now)
        continue;
      if (run->phase == run_phase::stopping && !run->stop_answered)
        m_state.request_stop(*run, now);
      else if (run->phase == run_phase::starting)
        resend_start(*run, now);
    }
  }
}

void run_tracker::resend_start(run_record& run, time_point now)
{
  worker_record& worker = *run.worker;
  if (worker.unresponsive || run.orphaned || run.start_answered || run.start_voided_at)
    return;
  // Holds may have extended the worker's lease, so that it would still accept an earlier copy. That
  // the lease of the request has expired therefore does not rule these out, and the run is stopped.
  if (worker.clock_at(now) >= run.start_expires)
  {
    m_state.request_stop(run, now);
    return;
  }
  // The ticket has expired: another copy would be rejected, and so would an earlier one that
  // arrives now.
  if (run.ticket_over && *run.ticket_over <= now)
  {
    run.start_voided_at = now;
    worker.hold_requested = true;
    return;
  }
  if (!m_state.incarnation_confirmed(worker, now))
  {
    m_state.request_confirmation(worker, now);
    return;
  }
  run.last_sent = now;
  ++run.sends;
  m_state.starts.take();
  m_state.commands.emplace_back(
      start_command{worker.info.id, worker.info.address, run.ref(), run.number,
                    run.job->accepted().spec.payload, m_state.start_lease_end(run, now),
                    run.job->task(run.place).checkpoint, run.ticket, worker.token});
}

void run_tracker::cancel(job_record& job, time_point now)
{
  m_state.end_job(job, jobs::job_state::cancelled, now);
}
} // namespace yardhill::scheduling
