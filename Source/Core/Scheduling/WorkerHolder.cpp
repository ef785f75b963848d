// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/WorkerHolder.h"

#include <algorithm>

#include "Common/EventLog.h"

namespace yardhill::scheduling
{
namespace
{
// One hold that waits at the worker for an update, and one that is answered at once. Each occupies
// one of the worker's connections.
constexpr unsigned k_max_holds_in_flight = 2;
// To a silent worker, where each hold takes the request timeout.
constexpr unsigned k_max_probes_in_flight = 3;
} // namespace

worker_holder::worker_holder(scheduler_state& state, crash_watch& crashes, run_tracker& tracker,
                             takeover_accounting& accounting, copy_watch& copies)
    : m_state(state),
      m_crashes(crashes),
      m_run_tracker(tracker),
      m_accounting(accounting),
      m_copies(copies)
{
}

worker_record& worker_holder::new_record(const worker_id& id, time_point now)
{
  auto& slot = m_state.workers[id];
  slot = std::make_unique<worker_record>();
  slot->info.id = id;
  slot->number = ++m_state.lives;
  slot->first_seen = now;
  slot->token = m_state.newest_token;
  // Until the worker's lists show otherwise, runs of an earlier owner may still be there.
  slot->lease_end = m_state.earlier_owners_lease_end;
  return *slot;
}

void worker_holder::restore_claim(const worker_id& id, const worker_claim& claim, time_point now)
{
  worker_record& worker = new_record(id, now);
  worker.info.address = claim.address;
  worker.listed = false;
  worker.claim = claim;
  worker.taken_over = now;
  worker.late_start_until = now + m_state.options.late_start_window;
  worker.known = claim.born.has_value();
  worker.born = claim.born;
  worker.claim_end_untrusted = claim.over && m_state.stated_ends_ignored;
  if (worker.claim_end_untrusted)
    worker.claim->over.reset();
  else if (claim.over)
    worker.lease_end = std::min(worker.lease_end, *claim.over);
  m_accounting.expect_worker(id, claim);
  hold(worker, now);
}

void worker_holder::on_entry(const worker_info& info, time_point now)
{
  worker_record* const known = m_state.find_worker(info.id);
  const bool added = known == nullptr;
  worker_record& worker = added ? new_record(info.id, now) : *known;
  const bool was_draining = worker.info.draining;
  const bool was_listed = worker.listed;
  worker.listed = true;
  worker.entry_valid = true;
  worker.over = false;
  m_state.place_again = true;
  // An entry does not prove which incarnation is there: clocks jump, and the entry may have arrived
  // late or come from another writer. So the worker is asked, and nothing new is placed on it until
  // the entry is that of the incarnation that answers.
  if (worker.known && info.born != worker.born)
  {
    worker.hold_requested |=
        !worker.conflicting_entry || worker.conflicting_entry->born != info.born;
    worker.conflicting_entry = info;
    return;
  }
  worker.info = info;
  worker.conflicting_entry.reset();
  if (added)
    probe_others_at(info);
  if (added || was_draining != info.draining || !was_listed)
    common::log_process("worker_entry", {{"worker", info.id.value},
                                         {"rack", info.rack},
                                         {"cpu_millis", info.capacity.cpu_millis},
                                         {"memory_mib", info.capacity.memory_mib},
                                         {"draining", info.draining},
                                         {"new", added}});
  if (!worker.claimed && worker.holds_in_flight == 0)
    hold(worker, now);
}

// Of two workers with the same address only one is still there, and their entries do not tell
// which: an isolated worker writes its last entry when its connection returns, after the first
// entry of its successor. Starting the tasks of the worker with the older entry elsewhere made them
// run in two places. A call to the address tells within a round trip: the worker for which it is
// meant answers it, any other one rejects it.
void worker_holder::probe_others_at(const worker_info& info)
{
  for (auto& [id, worker] : m_state.workers)
  {
    if (id != info.id && worker->info.address == info.address && !worker->over)
      worker->hold_requested = true;
  }
}

void worker_holder::on_entry_gone(const worker_id& id, time_point now)
{
  worker_record* const worker = m_state.find_worker(id);
  if (worker == nullptr)
    return;
  worker->listed = false;
  worker->conflicting_entry.reset();
  worker->answers_unlisted = false;
  worker->unlisted_since = now;
  if (worker->claimed && !worker->info.draining)
  {
    worker->forget_at = now + m_state.options.unlisted_timeout;
    worker->hold_requested = true;
  }
  common::log_process("worker_entry_gone", {{"worker", id.value},
                                            {"runs", worker->runs.size()},
                                            {"lease_left_ms", worker->lease_end - now}});
}

void worker_holder::end_incarnation(worker_record& worker, scheduler_state::lost_runs which,
                                    const char* why, time_point now)
{
  if (!worker.claimed && worker.claim && !worker.info.draining)
    m_accounting.life_ended(worker.info.id, now);
  m_crashes.worker_ended(worker, which, why, now);
  begin_incarnation(worker, now);
}

void worker_holder::begin_incarnation(worker_record& worker, time_point now)
{
  // Calls to the earlier incarnation may reach the new one seconds late, with leases and
  // acknowledgements that were meant for the earlier one. So the new one has to see a higher token
  // than they carry.
  const bool predecessor_claimed = worker.claimed;
  worker.begin_incarnation(++m_state.lives);
  worker.first_seen = now;
  m_state.drop_tickets(worker.info.id);
  m_state.place_again = true;
  if (!predecessor_claimed)
    return;
  worker.awaits_token = m_state.newest_token <= worker.token;
  if (!worker.awaits_token)
    worker.token = m_state.newest_token;
}

void worker_holder::token_given()
{
  for (const auto& [id, worker] : m_state.workers)
  {
    if (!(worker->awaits_token || worker->token_outdated) || m_state.newest_token <= worker->token)
      continue;
    worker->token = m_state.newest_token;
    worker->hold_requested |= worker->awaits_token || !worker->unresponsive;
    worker->awaits_token = worker->token_outdated = false;
  }
}

void worker_holder::on_other_worker(const worker_id& id, time_point sent, time_point now)
{
  worker_record* const worker = m_state.find_worker(id);
  if (worker == nullptr)
    return;
  if (sent < worker->identified_at)
  {
    // The worker was identified after that call was sent, so it may have started since.
    worker->hold_requested = true;
    return;
  }
  end_incarnation(*worker, scheduler_state::lost_runs::all,
                  "another worker answered at the worker's address", now);
  worker->listed = false;
  worker->conflicting_entry.reset();
  worker->over = true;
  worker->identified_at = now;
  worker->forget_at = time_point{};
  worker->lease_end = time_point{};
  m_accounting.on_worker_reported(id, now);
}

// An answer shows which incarnation was there at some moment between the sending of its call and
// now. If it differs from the known one, and that one has not answered since the call was sent, the
// known one was there earlier, so the answering one is the later of the two.
bool worker_holder::from_present_incarnation(worker_record& worker, const hold_answer& answer,
                                             time_point now)
{
  const bool same = worker.known && answer.born == worker.born;
  if (!same && (worker.over || answer.sent < worker.identified_at))
  {
    worker.hold_requested = !worker.over;
    return false;
  }
  if (worker.known && !same)
    handle_restart(worker, answer, now);
  worker.known = true;
  worker.born = answer.born;
  worker.identified_at = now;
  worker.confirmation_wanted_at.reset();
  worker.incarnation_uncertain = false;
  return true;
}

void worker_holder::handle_restart(worker_record& worker, const hold_answer& answer, time_point now)
{
  common::log_process("worker_restarted", {{"worker", worker.info.id.value},
                                           {"claimed", worker.claimed},
                                           {"runs", worker.runs.size()},
                                           {"listed_at_ms", worker.listed_at},
                                           {"clock_ms", answer.clock.value_or(milliseconds{0})},
                                           {"acknowledged", answer.acknowledged},
                                           {"ends_read", worker.seen}});
  m_state.metrics.add(common::counter::workers_restarted);
  end_incarnation(worker, scheduler_state::lost_runs::surely_begun,
                  "the worker has restarted under its id", now);
  // Late calls to the earlier incarnation may extend this one's lease, by the longest lease that
  // any owner gives.
  worker.has_predecessor = true;
  worker.lease_end = now + m_state.options.max_lease_of_others();
  worker.hold_requested = true;
  if (worker.conflicting_entry && worker.conflicting_entry->born == answer.born)
  {
    worker.info = *worker.conflicting_entry;
    worker.conflicting_entry.reset();
  }
}

void worker_holder::hold(worker_record& worker, time_point now)
{
  if (!m_state.may_act(now))
    return;
  hold_command request;
  request.worker = worker.info.id;
  request.address = worker.unresponsive && worker.conflicting_entry
                        ? worker.conflicting_entry->address
                        : worker.info.address;
  request.token = worker.token;
  // Ends of another incarnation have the same numbers, and one that is not known yet may have
  // carried out start requests sent since the latest lists. It must not forget an end that nobody
  // has read.
  const bool acknowledges = ends_are_read(worker, now);
  const end_number forgettable = m_copies.acknowledgeable(worker, now);
  request.acknowledged = acknowledges ? forgettable : 0;
  // The lease of a worker that does not answer is not extended: its runs must end at some time. Nor
  // is that of a worker for which the store states an end of its runs, until that is taken back.
  if (m_state.starts_allowed && worker.claimed && !worker.unresponsive && worker.clock_ahead &&
      !worker.end_stated())
    request.lease_end = m_state.extend_worker_lease(worker, now);
  // The worker forgets the ends that a hold acknowledges before it looks for updates, so that hold
  // can also wait for the next end. That takes one call per end instead of two.
  const bool settled = worker.claimed && !worker.unresponsive && worker.seen == forgettable;
  const bool forgets = acknowledges || forgettable == worker.acknowledged;
  if (settled && forgets && !worker.hold_requested && !worker.confirmation_wanted_at &&
      !worker.end_stated())
    request.wait = hold_wait();
  request.confirms_incarnation =
      !worker.unresponsive && (worker.confirmation_wanted_at || worker.incarnation_uncertain);
  worker.hold_requested = false;
  ++worker.holds_in_flight;
  worker.last_hold = now;
  m_state.commands.emplace_back(std::move(request));
}

bool worker_holder::ends_are_read(const worker_record& worker, time_point now) const
{
  if (worker.incarnation_uncertain)
    return false;
  const time_point recent =
      now - std::max(m_state.options.max_list_age, m_state.worker_request_timeout);
  return worker.identified_at >= recent ||
         std::none_of(worker.runs.begin(), worker.runs.end(),
                      [recent](const auto& each)
                      { return !each.second->listed && each.second->begun < recent; });
}

milliseconds worker_holder::hold_wait() const
{
  const scheduler_options& options = m_state.options;
  const duration by_workers = options.hold_wait_per_worker * m_state.workers.size();
  return std::chrono::duration_cast<milliseconds>(
      std::clamp(by_workers, options.hold_wait, options.max_hold_wait));
}

bool worker_holder::hold_due(worker_record& worker, time_point now) const
{
  if (worker.over || worker.awaits_token)
    return false;
  const duration since_last = now - worker.last_hold;
  const bool probe = probed(worker, now);
  if (worker.hold_requested)
    return worker.holds_in_flight < (probe ? k_max_probes_in_flight + 1 : k_max_holds_in_flight);
  if (probe && worker.holds_in_flight < k_max_probes_in_flight && since_last >= probe_interval())
    return true;
  if (worker.holds_in_flight > 0)
    return false;
  if (!worker.claimed && worker.listed)
    return since_last >= m_state.options.first_hold_retry;
  if (!worker.claimed || worker.unresponsive || worker.end_stated())
    return since_last >= m_state.options.hold_retry;
  if (m_copies.acknowledgeable(worker, now) > worker.acknowledged)
    return true;
  // Ends that are not written cannot be acknowledged, so a waiting hold would be answered with them
  // at once.
  if (worker.seen > worker.durable)
    return since_last >= m_state.options.hold_refresh;
  // Nor can a hold wait at a worker whose ends are not acknowledged for other reasons, so the
  // worker is asked often.
  if (!worker.kept_ends.empty() || worker.confirmation_wanted_at)
    return since_last >= m_state.options.hold_retry;
  return !worker.runs.empty() || !worker.foreign.empty() || worker.late_start_possible(now);
}

bool worker_holder::probed(const worker_record& worker, time_point now)
{
  return worker.unresponsive && worker.late_start_possible(now);
}

duration worker_holder::probe_interval() const
{
  const duration by_workers = m_state.options.hold_wait_per_worker * m_probed;
  return std::clamp(by_workers, m_state.options.late_start_probe, m_state.options.hold_retry);
}

duration worker_holder::overdue(const worker_record& worker, time_point now) const
{
  const bool needs_lease = worker.claimed && !(worker.runs.empty() && worker.foreign.empty());
  const bool needs_claim = !worker.claimed && worker.taken_over;
  if (worker.over || worker.awaits_token || !(needs_lease || needs_claim))
    return duration{0};
  const duration round_trip =
      hold_wait() + std::max(m_state.worker_request_timeout, m_state.options.hold_retry);
  return std::max(duration{0}, now - worker.last_hold - round_trip);
}

void worker_holder::on_hold(const hold_answer& answer, time_point now)
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
  if (!answer.late && worker->holds_in_flight > 0)
    --worker->holds_in_flight;
  if (answer.end == call_end::other_incarnation)
  {
    on_other_worker(answer.worker, answer.sent, now);
    return;
  }
  // That an earlier token was rejected does not mean that the present one will be.
  if (answer.end == call_end::fenced)
    return;
  const bool failed = answer.end != call_end::done;
  if (!failed && !from_present_incarnation(*worker, answer, now))
    return;
  if (failed != worker->unresponsive)
    common::log_process(failed ? "worker_silent" : "worker_heard",
                        {{"worker", worker->info.id.value},
                         {"end", to_text(answer.end)},
                         {"runs", worker->runs.size()},
                         {"waited_for", m_accounting.awaits_report_of(answer.worker)},
                         {"lease_left_ms", worker->lease_end - now}});
  if (failed && !worker->unresponsive)
    m_accounting.log_held_tasks(*worker, now);
  worker->set_unresponsive(failed, now);
  worker->incarnation_uncertain |= failed;
  if (failed)
    m_state.supersede_token(*worker);
  update_unlisted(*worker, !failed && answer.sent >= worker->unlisted_since);
  if (failed)
    return;
  m_state.clear_zone_silence(*worker);
  worker->heard_at = now;
  if (answer.clock)
    worker->clock_ahead =
        *answer.clock - std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
  // This incarnation has not seen the present token, so earlier calls may still change its lists.
  if (answer.token < worker->token || worker->awaits_token)
    return;
  if (!worker->claimed)
  {
    worker->claimed = true;
    // From now on the worker rejects holds of earlier owners, so these can extend no lease.
    if (!worker->end_stated())
      worker->lease_end = now + (worker->has_predecessor ? m_state.options.max_lease_of_others()
                                                         : m_state.options.max_lease());
    m_state.place_again = true;
  }
  if (answer.clock && *answer.clock < worker->listed_at)
    return; // a later answer has overtaken this one
  worker->listed_at = answer.clock.value_or(worker->listed_at);
  // The answer shows which acknowledgement the worker has received: it lists no ends up to it.
  worker->acknowledged = std::max(worker->acknowledged, answer.acknowledged);
  m_run_tracker.on_lists(*worker, answer, now);
  if (!answer.more_ends)
    m_accounting.on_worker_reported(worker->info.id, now);
}

void worker_holder::send_requested_holds(time_point now)
{
  for (const auto& [id, worker] : m_state.workers)
  {
    if (worker->hold_requested && hold_due(*worker, now))
      hold(*worker, now);
  }
}

// A worker without an entry counts as present as long as it answers.
void worker_holder::update_unlisted(worker_record& worker, bool heard)
{
  const bool usable = worker.info.capacity.cpu_millis > 0 && !worker.info.draining &&
                      worker.entry_is_current() && !worker.over;
  const bool answers = heard && usable && !worker.listed;
  if (answers == worker.answers_unlisted)
    return;
  worker.answers_unlisted = answers;
  m_state.place_again = true;
  common::log_process("worker_unlisted", {{"worker", worker.info.id.value}, {"answers", answers}});
}

void worker_holder::tick(time_point now)
{
  if (m_accounting.under_way())
    m_accounting.expire_unheard_workers(now);
  m_unheard = 0;
  m_probed = static_cast<std::size_t>(std::count_if(m_state.workers.begin(), m_state.workers.end(),
                                                    [now](const auto& each)
                                                    { return probed(*each.second, now); }));
  for (auto each = m_state.workers.begin(); each != m_state.workers.end();)
  {
    worker_record& worker = *each->second;
    m_unheard += worker.taken_over && !worker.claimed ? 1 : 0;
    if (!worker.runs.empty() && now >= worker.lease_end)
      m_crashes.leases_expired(worker, "its lease has expired", now);
    if (!worker.present() && worker.runs.empty() && worker.holds_in_flight == 0 &&
        !worker.claim_in_flight && now >= std::max(worker.lease_end, worker.forget_at))
    {
      if (worker.claim)
        m_state.released.insert(each->first);
      m_state.speeds.forget(each->first);
      each = m_state.workers.erase(each);
      continue;
    }
    if (hold_due(worker, now))
      hold(worker, now);
    ++each;
  }
}

} // namespace yardhill::scheduling
