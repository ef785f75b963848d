// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/JobScheduler.h"

#include <algorithm>
#include <utility>

#include "Common/EventLog.h"
#include "Common/Hash.h"
#include "Scheduling/Backlog.h"

namespace yardhill::scheduling
{
namespace
{
constexpr std::chrono::seconds k_report_period{1};
// Bytes that a row takes in the call to the store beside its text.
constexpr std::size_t k_row_frame_bytes = 200;

// The most that the text of a closed claim takes: an address and a zone, and each task.
std::size_t max_claim_bytes(std::size_t tasks)
{
  return 500 + 60 * tasks;
}

// What a row of that many bytes takes in the call to the store, in base64.
std::size_t encoded_size(std::size_t bytes)
{
  return (bytes + 2) / 3 * 4 + k_row_frame_bytes;
}
} // namespace

std::size_t commit_batch::bytes() const
{
  std::size_t sum = 0;
  for (const auto* const texts : {&rows, &continuations})
  {
    for (const auto& [key, text] : *texts)
      sum += encoded_size(text.size());
  }
  for (const auto& [id, claim] : claims)
    sum += encoded_size(max_claim_bytes(claim.tasks.size()));
  return sum;
}

job_scheduler::job_scheduler(const scheduler_options& options, run_number first_run,
                             common::metrics& metrics)
    : m_state(options, metrics),
      m_crashes(m_state),
      m_accounting(m_state, m_crashes),
      m_copies(m_state, m_accounting),
      m_follower(m_state, m_crashes, m_copies),
      m_holder(m_state, m_crashes, m_follower, m_accounting, m_copies),
      m_reservations(m_state),
      m_rules(m_state, m_reservations, m_crashes),
      m_zones(m_state, m_rules),
      m_reservation_planner(m_state, m_rules, m_reservations),
      m_advice(m_state, m_zones, m_reservations, m_rules),
      m_placer(m_state, m_zones, m_advice, m_reservations, m_reservation_planner, m_crashes,
               m_rules),
      m_evacuator(m_state, m_advice, m_placer),
      m_waits(m_state, m_rules, m_crashes, m_accounting, m_holder)
{
  m_state.first_run = first_run;
}

void job_scheduler::set_policies(std::map<std::string, jobs::queue_policy> policies)
{
  m_configured_queues.clear();
  for (auto& [queue, policy] : policies)
  {
    m_configured_queues.insert(queue);
    m_state.policies[queue] = std::move(policy);
  }
  for (const std::string& id : m_state.open)
  {
    job_record& job = *m_state.jobs.at(id);
    job.set_policy(policy_of(job.accepted()));
    keep_terms_if_needed(job);
  }
  m_state.place_again = true;
}

void job_scheduler::set_workspaces(const std::map<std::string, jobs::workspace>& workspaces)
{
  m_state.workspaces.configure(workspaces);
  for (const std::string& id : m_state.open)
    keep_terms_if_needed(*m_state.jobs.at(id));
  m_state.place_again = true;
}

// The last policy of a queue that is no longer configured stays in force for its accepted jobs. An
// owner that has never seen that queue configured goes by what was stored with the job.
const jobs::queue_policy& job_scheduler::policy_of(const jobs::accepted_job& job) const
{
  static const jobs::queue_policy s_default_policy;
  const auto found = m_state.policies.find(job.queue);
  if (found != m_state.policies.end())
    return found->second;
  return job.terms ? job.terms->policy : s_default_policy;
}

// For jobs that were accepted by a version of the software that stored no terms.
void job_scheduler::keep_terms_if_needed(job_record& job)
{
  const jobs::accepted_job& accepted = job.accepted();
  if (accepted.terms || !m_state.policies.contains(accepted.queue))
    return;
  const bool needed = !m_configured_queues.contains(accepted.queue) ||
                      (job.account() != nullptr && !job.account()->configured);
  if (!needed)
    return;
  jobs::acceptance_terms terms;
  terms.policy = job.policy();
  if (job.account() != nullptr)
  {
    terms.workspace_limit = job.account()->whole_limit;
    terms.workspace_weight = job.account()->whole_weight;
  }
  job.keep_terms(terms);
  m_state.mark_dirty(job);
}

void job_scheduler::set_wall_clock(jobs::wall_time wall, time_point now)
{
  m_state.wall_clock_offset =
      wall.time_since_epoch() - std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
}

void job_scheduler::set_request_times(duration timeout, duration round_trip)
{
  m_state.worker_request_timeout = timeout;
  m_state.request_round_trip = round_trip;
}

void job_scheduler::set_authority(time_point until, time_point confirmed)
{
  m_state.authority_end = until;
  m_state.confirmed = confirmed;
}

void job_scheduler::token_given(fencing_token token)
{
  m_state.newest_token = std::max(m_state.newest_token, token);
  m_holder.token_given();
}

void job_scheduler::suspend_starts()
{
  m_state.starts_allowed = false;
}

void job_scheduler::allow_starts()
{
  m_state.starts_allowed = true;
  m_state.place_again = true;
}

void job_scheduler::end_placing()
{
  m_state.placing_ended = true;
}

void job_scheduler::ignore_stated_ends()
{
  m_state.stated_ends_ignored = true;
}

void job_scheduler::restore_claim(const worker_id& id, const worker_claim& claim, time_point now)
{
  m_holder.restore_claim(id, claim, now);
}

void job_scheduler::worker_entry(const worker_info& info, time_point now)
{
  m_holder.on_entry(info, now);
}

void job_scheduler::worker_entry_invalid(const worker_id& id)
{
  if (worker_record* const worker = m_state.find_worker(id))
    worker->entry_valid = false;
}

void job_scheduler::worker_entry_gone(const worker_id& id, time_point now)
{
  m_holder.on_entry_gone(id, now);
}

void job_scheduler::add_job(const jobs::accepted_job& job, time_point now)
{
  if (m_state.jobs.contains(job.id))
    return;
  const time_point accepted = std::min(
      now, now - std::chrono::duration_cast<duration>(m_state.wall(now) - job.accepted_at));
  auto record = std::make_unique<job_record>(job, policy_of(job), accepted);
  if (record->shared())
    record->exclude_other_shares(m_state.options.share);
  if (!job.workspace.empty())
  {
    workspace_account& account = m_state.workspaces.account_of(job);
    record->set_account(&account);
    record->set_beyond_share(account.count_job(accepted));
  }
  m_state.jobs[job.id] = std::move(record);
  m_state.open.insert(job.id);
  m_state.place_again = true;
  m_state.metrics.add(common::counter::tasks_accepted);
}

void job_scheduler::restore_job(const jobs::accepted_job& job,
                                const std::optional<jobs::job_progress>& progress, time_point now)
{
  if (m_state.jobs.contains(job.id))
    return;
  jobs::accepted_job with_terms = job;
  if (progress && progress->terms)
    with_terms.terms = progress->terms;
  add_job(with_terms, now);
  job_record& record = *m_state.jobs.at(job.id);
  if (progress && progress->terms)
    record.keep_terms(*progress->terms);
  record.restore(progress.value_or(jobs::job_progress{}), m_state.first_run);
  if (progress && progress->continuation_rows > 0)
    m_stored_rows[job.id].resize(progress->continuation_rows + 1);
  if (record.ended())
    m_state.open.erase(job.id);
  else
  {
    record.mark_unaccounted();
    m_crashes.restored(record, now);
  }
}

void job_scheduler::restore_ended_job(const jobs::accepted_job& job)
{
  if (job.workspace.empty())
    return;
  charged_job& charged = m_ended_before[job.id];
  charged = {&m_state.workspaces.account_of(job), {}};
  for (const jobs::step_spec& step : job.spec.steps)
    charged.demands.push_back(step.demand);
}

void job_scheduler::set_earlier_owners_lease_end(time_point end)
{
  m_state.earlier_owners_lease_end = end;
}

void job_scheduler::shorten_earlier_owners_leases(time_point end)
{
  m_state.earlier_owners_lease_end = std::min(m_state.earlier_owners_lease_end, end);
  for (const auto& [id, worker] : m_state.workers)
  {
    if (!worker->claimed)
      worker->lease_end = std::min(worker->lease_end, m_state.earlier_owners_lease_end);
  }
}

void job_scheduler::begin_accounting(time_point now)
{
  m_accounting.begin(now);
  m_copies.restored(now);
}

void job_scheduler::cancel_job(const std::string& id, time_point now)
{
  job_record* const job = m_state.find_job(id);
  if (job != nullptr)
    m_follower.cancel(*job, now);
}

void job_scheduler::start_answered(const start_answer& answer, time_point now)
{
  if (answer.end == call_end::other_incarnation)
    m_holder.on_other_worker(answer.worker, answer.sent, now);
  else
    m_follower.on_start(answer, now);
}

void job_scheduler::stop_answered(const stop_answer& answer, time_point now)
{
  if (answer.end == call_end::other_incarnation)
    m_holder.on_other_worker(answer.worker, answer.sent, now);
  else
    m_follower.on_stop(answer, now);
}

void job_scheduler::hold_answered(const hold_answer& answer, time_point now)
{
  m_holder.on_hold(answer, now);
}

void job_scheduler::advice_answered(const advice_answer& answer, time_point now)
{
  m_advice.on_answer(answer, now);
}

bool job_scheduler::has_changes(time_point now) const
{
  return !m_state.dirty.empty() || !m_state.released.empty() || has_uncommitted_ends() ||
         std::any_of(m_state.workers.begin(), m_state.workers.end(),
                     [this, now](const auto& each) { return claim_outdated(*each.second, now); });
}

bool job_scheduler::wants_stated_end(const worker_record& worker, time_point now) const
{
  if (worker.silent_for(m_state.options.close_claim_after, now))
    return true;
  const duration timeout =
      std::max(m_state.options.state_end_after, 2 * m_state.request_round_trip);
  return !worker.claimed && worker.taken_over && now - *worker.taken_over >= timeout &&
         m_holder.unheard() <= m_state.options.max_early_stated_ends;
}

bool job_scheduler::claim_outdated(const worker_record& worker, time_point now) const
{
  if (worker.claim_in_flight || worker.claim_refused)
    return false;
  const bool state_end = wants_stated_end(worker, now);
  // A stated end that is ignored is replaced by a later one, once this owner knows one: nothing can
  // be stated before it is known.
  if (worker.claim_end_untrusted)
    return worker.claimed || state_end;
  const bool end_stated = worker.claim && worker.claim->over;
  if (!worker.claimed)
    return state_end && (!end_stated || worker.lease_end < *worker.claim->over);
  const bool closed = closes_claim(worker, now);
  return !worker.claim || worker.claim->born != worker.born || worker.claim->closed != closed ||
         end_stated != state_end || (closed && worker.runs.size() < worker.claim->tasks.size());
}

bool job_scheduler::closes_claim(const worker_record& worker, time_point now) const
{
  return worker.should_close_claim(m_state.options.close_claim_after, now) &&
         max_claim_bytes(worker.runs.size()) <= m_state.options.rows.bytes;
}

worker_claim job_scheduler::claim_of(const worker_record& worker, time_point now) const
{
  // The claim of a silent worker states by when all runs there will have ended. Otherwise each
  // later owner would count the leases from its predecessor's latest renewal again, and the tasks
  // would wait for as long as owners are replaced.
  const bool state_end = wants_stated_end(worker, now);
  // Until the worker has answered, only the earlier owner's claim tells what may run there.
  worker_claim claim = worker.claimed || !worker.claim ? worker_claim{} : *worker.claim;
  if (state_end)
    claim.over = worker.lease_end;
  if (!worker.claimed && worker.claim)
    return claim;
  claim.address = worker.info.address;
  claim.zone = worker.info.zone;
  claim.born = worker.born;
  if (!worker.claimed)
    return claim;
  claim.closed = closes_claim(worker, now);
  if (!claim.closed)
    return claim;
  for (const auto& [task, run] : worker.runs)
    claim.tasks.push_back(task);
  return claim;
}

bool job_scheduler::has_uncommitted_ends() const
{
  return std::any_of(m_state.workers.begin(), m_state.workers.end(),
                     [](const auto& each) { return each.second->seen > each.second->durable; });
}

bool job_scheduler::add_progress(commit_batch& batch, job_record& job, std::size_t most_rows,
                                 time_point now)
{
  const std::string& id = job.id();
  jobs::progress_rows progress = jobs::to_rows(job.progress(), m_state.options.rows);
  if (progress.texts.size() > m_state.options.rows.rows)
  {
    common::log_request("progress_too_long", id, {{"rows", progress.texts.size()}});
    m_state.end_job(job, jobs::job_state::failed, now);
    progress = jobs::to_rows(job.progress(), m_state.options.rows);
  }
  const auto known = m_stored_rows.find(id);
  const std::vector<std::uint64_t> stored =
      known == m_stored_rows.end() ? std::vector<std::uint64_t>{} : known->second;
  commit_batch added;
  added.rows[id] = progress.texts.front();
  std::vector<std::uint64_t> hashes{common::stable_hash(progress.texts.front())};
  for (std::size_t i = 1; i < progress.texts.size(); ++i)
  {
    hashes.push_back(common::stable_hash(progress.texts[i]));
    if (i >= stored.size() || stored[i] != hashes[i])
      added.continuations[jobs::continuation_key(id, i)] = std::move(progress.texts[i]);
  }
  for (std::size_t i = progress.texts.size(); i < stored.size(); ++i)
    added.removed_continuations.insert(jobs::continuation_key(id, i));
  const bool fits = batch.size() + added.size() <= most_rows &&
                    batch.bytes() + added.bytes() <= m_state.options.max_commit_bytes;
  if (!fits && batch.parts() > 0)
    return false;
  if (progress.omitted_checkpoints + progress.omitted_histories > 0)
    common::log_request(
        "progress_shortened", id,
        {{"checkpoints", progress.omitted_checkpoints}, {"histories", progress.omitted_histories}});
  if (hashes.size() > 1 || !stored.empty())
    batch.stored_rows[id] = std::move(hashes);
  batch.rows.merge(added.rows);
  batch.continuations.merge(added.continuations);
  batch.removed_continuations.merge(added.removed_continuations);
  return true;
}

commit_batch job_scheduler::take_commit(std::size_t most_rows, time_point now)
{
  commit_batch batch;
  while (!m_state.dirty.empty() && batch.size() < most_rows)
  {
    const std::string id = *m_state.dirty.begin();
    job_record& job = *m_state.jobs.at(id);
    if (!add_progress(batch, job, most_rows, now))
      break;
    job.advance_begin_marks(begin_mark::wanted, begin_mark::in_flight);
    if (job.ended())
      m_ending.insert(id);
    m_state.dirty.erase(id);
  }
  if (!m_state.dirty.empty())
    return batch;
  while (!m_state.released.empty() && batch.size() < most_rows)
    batch.releases.insert(m_state.released.extract(m_state.released.begin()));
  batch.complete = m_state.released.empty();
  for (const auto& [id, worker] : m_state.workers)
  {
    if (worker->seen > worker->durable)
      batch.ends[id] = {worker->number, worker->seen};
    if (!claim_outdated(*worker, now))
      continue;
    // A claim that is added again after its removal goes into a later batch, since the writes of
    // one transaction have no order.
    if (batch.size() >= most_rows || batch.bytes() >= m_state.options.max_commit_bytes ||
        batch.releases.contains(id))
    {
      batch.complete = false;
      continue;
    }
    worker->claim_in_flight = claim_of(*worker, now);
    batch.claims[id] = *worker->claim_in_flight;
  }
  return batch;
}

void job_scheduler::commit_done(const commit_batch& batch, bool written)
{
  if (!written)
  {
    for (const auto& [id, text] : batch.rows)
    {
      if (m_state.jobs.contains(id))
        m_state.dirty.insert(id);
    }
    m_state.released.insert(batch.releases.begin(), batch.releases.end());
    for (const auto& [id, claim] : batch.claims)
    {
      if (worker_record* const worker = m_state.find_worker(id))
        worker->claim_in_flight.reset();
    }
    for (const auto& [id, text] : batch.rows)
    {
      if (job_record* const job = m_state.find_job(id))
        job->advance_begin_marks(begin_mark::in_flight, begin_mark::wanted);
    }
    return;
  }
  for (const auto& [id, hashes] : batch.stored_rows)
  {
    if (hashes.size() > 1)
      m_stored_rows[id] = hashes;
    else
      m_stored_rows.erase(id);
  }
  for (const auto& [id, read] : batch.ends)
  {
    worker_record* const worker = m_state.find_worker(id);
    if (worker != nullptr && worker->number == read.incarnation)
      worker->durable = std::max(worker->durable, read.highest);
  }
  for (const auto& [id, claim] : batch.claims)
  {
    if (worker_record* const worker = m_state.find_worker(id))
    {
      // The worker's leases may be extended again. They were not while its claim stated an end, so
      // the worker is asked at once.
      worker->hold_requested |= worker->end_stated() && !claim.over;
      worker->claim = claim;
      worker->claim_end_untrusted = false;
      worker->claim_in_flight.reset();
    }
  }
  for (const auto& [id, text] : batch.rows)
  {
    if (job_record* const job = m_state.find_job(id))
      job->advance_begin_marks(begin_mark::in_flight, begin_mark::written);
  }
  m_state.place_again = true;
  drop_ended_jobs();
}

void job_scheduler::give_up_part(const commit_batch& batch, time_point now)
{
  for (const auto& [id, text] : batch.rows)
  {
    job_record* const job = m_state.find_job(id);
    if (job == nullptr)
      continue;
    common::log_request("progress_refused_by_store", id, {{"bytes", text.size()}});
    if (job->ended())
      m_state.dirty.erase(id);
    m_state.end_job(*job, jobs::job_state::failed, now);
  }
  for (const auto& [id, claim] : batch.claims)
  {
    worker_record* const worker = m_state.find_worker(id);
    if (worker == nullptr)
      continue;
    common::log_process("claim_refused_by_store",
                        {{"worker", id.value}, {"tasks", claim.tasks.size()}});
    worker->claim_refused = true;
  }
  for (const worker_id& id : batch.releases)
    m_state.released.erase(id);
}

void job_scheduler::drop_old_ended_jobs()
{
  while (!m_drop_times.empty() &&
         m_last_tick - m_drop_times.front().first > m_state.options.remember_ended)
  {
    m_dropped_jobs.erase(m_drop_times.front().second);
    m_drop_times.pop_front();
  }
}

bool job_scheduler::may_run_unrecorded(const job_record& job) const
{
  if (m_accounting.under_way() && job.unaccounted_demand() != common::resources{})
    return true;
  return std::any_of(m_state.workers.begin(), m_state.workers.end(),
                     [&job](const auto& each)
                     {
                       const auto& foreign = each.second->foreign;
                       return std::any_of(foreign.begin(), foreign.end(),
                                          [&job](const auto& run)
                                          { return run.first.job == job.id(); });
                     });
}

void job_scheduler::drop_ended_jobs()
{
  for (auto each = m_ending.begin(); each != m_ending.end();)
  {
    const auto found = m_state.jobs.find(*each);
    if (m_state.dirty.contains(*each) || found->second->has_runs() ||
        may_run_unrecorded(*found->second))
    {
      ++each;
      continue;
    }
    const bool shared = found->second->shared();
    m_dropped_jobs[*each] = found->second->state();
    m_state.jobs.erase(found);
    m_drop_times.emplace_back(m_last_tick, *each);
    // The other partitions still need the row of a shared job, unless the job was cancelled.
    if (!shared || m_dropped_jobs[*each] == jobs::job_state::cancelled)
      m_newly_ended.push_back(*each);
    each = m_ending.erase(each);
  }
}

void job_scheduler::charge_unaccounted_tasks()
{
  m_state.workspaces.clear_unaccounted();
  // Runs of jobs that have ended; their workers are told to stop them.
  for (const auto& [id, worker] : m_state.workers)
  {
    for (const auto& [task, run] : worker->foreign)
      charge_foreign_run(task);
  }
  if (!m_accounting.under_way())
    return;
  for (const auto& [id, job] : m_state.jobs)
  {
    if (job->account() != nullptr)
      job->account()->unaccounted += job->unaccounted_demand();
  }
}

void job_scheduler::charge_foreign_run(const task_ref& task)
{
  if (const job_record* const job = m_state.find_job(task.job))
  {
    if (job->account() != nullptr && job->contains(task.place))
      job->account()->unaccounted +=
          job->cycles()[task.place.cycle].steps[task.place.step].spec->demand;
    return;
  }
  const auto ended = m_ended_before.find(task.job);
  if (ended != m_ended_before.end() && task.place.step < ended->second.demands.size())
    ended->second.account->unaccounted += ended->second.demands[task.place.step];
}

void job_scheduler::look_ahead(time_point now)
{
  for (const std::string& id : m_state.open)
  {
    job_record& job = *m_state.jobs.at(id);
    if (job.state() == jobs::job_state::active)
      m_advice.look_ahead(job, now);
  }
}

duration job_scheduler::pass_spacing() const
{
  const duration for_workers = m_state.options.pass_spacing_per_worker * m_state.workers.size();
  const duration for_steps = m_state.options.pass_spacing_per_step * m_placer.steps_examined();
  return std::max(m_state.options.min_pass_spacing, for_workers + for_steps);
}

bool job_scheduler::survey_due()
{
  if (m_state.workers.size() <= m_state.options.small_partition)
    return true;
  return m_passes++ % m_state.options.passes_per_survey == 0;
}

void job_scheduler::tick(time_point now)
{
  m_last_tick = now;
  drop_old_ended_jobs();
  if (m_state.fenced)
    return;
  const bool survey = survey_due();
  m_state.starts.begin_pass(m_loop_lateness, now);
  // Leases are extended first, since everything else may be delayed.
  m_holder.tick(now);
  m_crashes.tick(now);
  m_copies.tick(now);
  if (survey)
    m_follower.resend_requests(now);
  m_state.place_again = false;
  charge_unaccounted_tasks();
  m_placer.place(now, survey);
  if (survey)
    m_evacuator.tick(now);
  // Starts wait for the answers to these.
  m_holder.send_requested_holds(now);
  // Comes after the steps that are waiting already, since few advice calls can be in flight at
  // once.
  look_ahead(now);
  report_if_due(now);
}

void job_scheduler::report_if_due(time_point now)
{
  if (m_last_report && now - *m_last_report < k_report_period)
    return;
  m_last_report = now;
  m_waits.update(now);
  publish(update_backlog(m_state, m_holder, m_waits, now), m_state.metrics);
}

std::vector<command> job_scheduler::take_commands()
{
  return std::exchange(m_state.commands, {});
}

std::optional<jobs::job_state> job_scheduler::state_of(const std::string& job) const
{
  const auto found = m_state.jobs.find(job);
  if (found != m_state.jobs.end())
    return found->second->state();
  const auto ended = m_dropped_jobs.find(job);
  return ended == m_dropped_jobs.end() ? std::nullopt : std::optional(ended->second);
}
} // namespace yardhill::scheduling
