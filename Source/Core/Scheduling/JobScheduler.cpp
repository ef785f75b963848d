// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/JobScheduler.h"

#include <algorithm>
#include <utility>

#include "Common/EventLog.h"
#include "Scheduling/Backlog.h"

namespace yardhill::scheduling
{
namespace
{
constexpr std::chrono::seconds k_report_period{1};
} // namespace

job_scheduler::job_scheduler(const scheduler_options& options, run_number first_run,
                             common::metrics& counts)
    : m_state(options, counts),
      m_crashes(m_state),
      m_accounting(m_state, m_crashes),
      m_copies(m_state, m_accounting),
      m_follower(m_state, m_crashes, m_copies),
      m_holder(m_state, m_crashes, m_follower, m_accounting, m_copies),
      m_zones(m_state),
      m_reservations(m_state),
      m_advice(m_state, m_zones, m_reservations),
      m_placer(m_state, m_zones, m_advice, m_reservations, m_crashes),
      m_evacuator(m_state, m_advice, m_placer),
      m_waits(m_state, m_placer, m_crashes, m_accounting, m_holder)
{
  m_state.first_run = first_run;
}

void job_scheduler::set_policies(std::map<std::string, jobs::queue_policy> policies)
{
  // The last policy of a queue that is no longer configured holds for its accepted jobs.
  for (auto& [queue, policy] : policies)
    m_state.policies[queue] = policy;
  for (const std::string& id : m_state.open)
  {
    job_record& job = *m_state.jobs.at(id);
    job.set_policy(policy_of(job.accepted().queue));
  }
  m_state.place_again = true;
}

const jobs::queue_policy& job_scheduler::policy_of(const std::string& queue) const
{
  static const jobs::queue_policy s_unknown;
  const auto found = m_state.policies.find(queue);
  return found == m_state.policies.end() ? s_unknown : found->second;
}

void job_scheduler::set_wall_clock(jobs::wall_time wall, time_point now)
{
  m_state.wall_ahead =
      wall.time_since_epoch() - std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
}

void job_scheduler::set_order_times(duration patience, duration round_trip)
{
  m_state.worker_request_timeout = patience;
  m_state.order_round_trip = round_trip;
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

void job_scheduler::hold_orders()
{
  m_state.orders_begun = false;
}

void job_scheduler::begin_orders()
{
  m_state.orders_begun = true;
  m_state.place_again = true;
}

void job_scheduler::end_placing()
{
  m_state.placing_ended = true;
}

void job_scheduler::doubt_stated_ends()
{
  m_state.stated_ends_doubted = true;
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
  auto record = std::make_unique<job_record>(job, policy_of(job.queue), accepted);
  if (record->shared())
    record->leave_to_others(m_state.options.share);
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
  add_job(job, now);
  job_record& record = *m_state.jobs.at(job.id);
  record.restore(progress.value_or(jobs::job_progress{}), m_state.first_run);
  if (record.ended())
    m_state.open.erase(job.id);
  else
  {
    record.mark_unaccounted();
    m_crashes.restored(record, now);
  }
}

void job_scheduler::set_earlier_end(time_point end)
{
  m_state.earlier_end = end;
}

void job_scheduler::bring_earlier_end_forward(time_point end)
{
  m_state.earlier_end = std::min(m_state.earlier_end, end);
  for (const auto& [id, worker] : m_state.workers)
  {
    if (!worker->claimed)
      worker->lease_end = std::min(worker->lease_end, m_state.earlier_end);
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
  if (answer.end == call_end::other_life)
    m_holder.on_other_worker(answer.worker, answer.sent, now);
  else
    m_follower.on_start(answer, now);
}

void job_scheduler::stop_answered(const stop_answer& answer, time_point now)
{
  if (answer.end == call_end::other_life)
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
  return !m_state.dirty.empty() || !m_state.released.empty() || ends_unwritten() ||
         std::any_of(m_state.workers.begin(), m_state.workers.end(),
                     [this, now](const auto& each) { return claim_outdated(*each.second, now); });
}

bool job_scheduler::ends_unheard(const worker_record& worker, time_point now) const
{
  if (worker.silent_for(m_state.options.close_claim, now))
    return true;
  const duration patience = std::max(m_state.options.state_end, 2 * m_state.order_round_trip);
  return !worker.claimed && worker.taken_over && now - *worker.taken_over >= patience &&
         m_holder.unheard() <= m_state.options.most_early_ends;
}

bool job_scheduler::claim_outdated(const worker_record& worker, time_point now) const
{
  if (worker.claim_sent)
    return false;
  const bool silent = ends_unheard(worker, now);
  // Nothing can be stated earlier than it is known: the doubted end is replaced by a later one.
  if (worker.claim_doubted)
    return worker.claimed || silent;
  const bool end_kept = worker.claim && worker.claim->over;
  if (!worker.claimed)
    return silent && (!end_kept || worker.lease_end < *worker.claim->over);
  const bool closed = worker.wants_closed_claim(m_state.options.close_claim, now);
  return !worker.claim || worker.claim->born != worker.born || worker.claim->closed != closed ||
         end_kept != silent || (closed && worker.runs.size() < worker.claim->tasks.size());
}

worker_claim job_scheduler::claim_of(const worker_record& worker, time_point now) const
{
  // When what runs on a silent worker is over is kept: otherwise each later owner would count that
  // anew from its predecessor's latest renewal, and its tasks wait as long as owners are replaced.
  const bool silent = ends_unheard(worker, now);
  // What earlier owners have there is known to this one by their claim alone.
  worker_claim claim = worker.claimed || !worker.claim ? worker_claim{} : *worker.claim;
  if (silent)
    claim.over = worker.lease_end;
  if (!worker.claimed && worker.claim)
    return claim;
  claim.address = worker.info.address;
  claim.zone = worker.info.zone;
  claim.born = worker.born;
  if (!worker.claimed)
    return claim;
  claim.closed = worker.wants_closed_claim(m_state.options.close_claim, now);
  if (!claim.closed)
    return claim;
  for (const auto& [task, run] : worker.runs)
    claim.tasks.push_back(task);
  return claim;
}

bool job_scheduler::ends_unwritten() const
{
  return std::any_of(m_state.workers.begin(), m_state.workers.end(),
                     [](const auto& each) { return each.second->seen > each.second->durable; });
}

commit_batch job_scheduler::take_commit(std::size_t most_rows, time_point now)
{
  commit_batch batch;
  while (!m_state.dirty.empty() && batch.rows.size() < most_rows)
  {
    const std::string id = *m_state.dirty.begin();
    job_record& job = *m_state.jobs.at(id);
    job.advance_begin_marks(begin_mark::wanted, begin_mark::on_its_way);
    batch.rows[id] = jobs::to_row_text(job.progress());
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
    // A claim that returns follows its removal: one transaction does not tell which comes last.
    if (batch.size() >= most_rows || batch.releases.contains(id))
    {
      batch.complete = false;
      continue;
    }
    worker->claim_sent = claim_of(*worker, now);
    batch.claims[id] = *worker->claim_sent;
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
    return;
  }
  for (const auto& [id, read] : batch.ends)
  {
    worker_record* const worker = m_state.find_worker(id);
    if (worker != nullptr && worker->number == read.life)
      worker->durable = std::max(worker->durable, read.highest);
  }
  for (const auto& [id, claim] : batch.claims)
  {
    if (worker_record* const worker = m_state.find_worker(id))
    {
      // Its leases may be extended again, and have not been meanwhile.
      worker->ask_at_once |= worker->end_stated() && !claim.over;
      worker->claim = claim;
      worker->claim_doubted = false;
      worker->claim_sent.reset();
    }
  }
  for (const auto& [id, text] : batch.rows)
  {
    if (job_record* const job = m_state.find_job(id))
      job->advance_begin_marks(begin_mark::on_its_way, begin_mark::written);
  }
  m_state.place_again = true;
  forget_ended();
}

void job_scheduler::drop_old_ids()
{
  while (!m_forgotten_since.empty() &&
         m_now - m_forgotten_since.front().first > m_state.options.remember_ended)
  {
    m_forgotten.erase(m_forgotten_since.front().second);
    m_forgotten_since.pop_front();
  }
}

void job_scheduler::forget_ended()
{
  for (auto each = m_ending.begin(); each != m_ending.end();)
  {
    const auto found = m_state.jobs.find(*each);
    if (m_state.dirty.contains(*each) || found->second->has_runs())
    {
      ++each;
      continue;
    }
    const bool shared = found->second->shared();
    m_forgotten[*each] = found->second->state();
    m_state.jobs.erase(found);
    m_forgotten_since.emplace_back(m_now, *each);
    // The others of a shared job still need its row.
    if (!shared || m_forgotten[*each] == jobs::job_state::cancelled)
      m_just_ended.push_back(*each);
    each = m_ending.erase(each);
  }
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
  const duration by_workers = m_state.options.pass_spacing_a_worker * m_state.workers.size();
  const duration by_steps = m_state.options.pass_spacing_a_step * m_placer.looked_at();
  return std::max(m_state.options.pass_spacing_least, by_workers + by_steps);
}

bool job_scheduler::survey_due()
{
  if (m_state.workers.size() <= m_state.options.small_partition)
    return true;
  return m_passes++ % m_state.options.passes_a_survey == 0;
}

void job_scheduler::tick(time_point now)
{
  m_now = now;
  drop_old_ids();
  if (m_state.fenced)
    return;
  const bool survey = survey_due();
  m_state.starts.begin_pass(m_loop_lateness, now);
  // Leases come before anything that may be put off.
  m_holder.tick(now);
  m_crashes.tick(now);
  m_copies.tick(now);
  if (survey)
    m_follower.repeat_orders(now);
  m_state.place_again = false;
  m_placer.place(now, survey);
  if (survey)
    m_evacuator.tick(now);
  // After what waits already, since the calls that can be under way are few.
  look_ahead(now);
  report_if_due(now);
}

void job_scheduler::report_if_due(time_point now)
{
  if (m_reported && now - *m_reported < k_report_period)
    return;
  m_reported = now;
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
  const auto ended = m_forgotten.find(job);
  return ended == m_forgotten.end() ? std::nullopt : std::optional(ended->second);
}
} // namespace yardhill::scheduling
