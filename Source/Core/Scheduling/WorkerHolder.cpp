// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/WorkerHolder.h"

#include <algorithm>

#include "Common/EventLog.h"

namespace yardhill::scheduling
{
namespace
{
// The one that waits for news, and one that asks at once. Each holds a connection of the worker.
constexpr unsigned k_most_holds = 2;
} // namespace

worker_holder::worker_holder(scheduler_state& state, crash_watch& crashes, run_follower& follower,
                             takeover_accounting& accounting, copy_watch& copies)
    : m_state(state),
      m_crashes(crashes),
      m_follower(follower),
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
  // Unless it says otherwise, an earlier owner may still have runs there.
  slot->lease_end = m_state.earlier_end;
  return *slot;
}

void worker_holder::restore_claim(const worker_id& id, const worker_claim& claim, time_point now)
{
  worker_record& worker = new_record(id, now);
  worker.info.address = claim.address;
  worker.listed = false;
  worker.claim = claim;
  worker.taken_over = now;
  worker.known = claim.born.has_value();
  worker.born = claim.born;
  worker.claim_doubted = claim.over && m_state.stated_ends_doubted;
  if (worker.claim_doubted)
    worker.claim->over.reset();
  else if (claim.over)
    worker.lease_end = std::min(worker.lease_end, *claim.over);
  m_accounting.expect(id, claim);
  hold(worker, now);
}

void worker_holder::on_entry(const worker_info& info, time_point now)
{
  worker_record* const known = m_state.find_worker(info.id);
  const bool news = known == nullptr;
  worker_record& worker = news ? new_record(info.id, now) : *known;
  const bool was_draining = worker.info.draining;
  const bool was_listed = worker.listed;
  worker.listed = true;
  worker.entry_valid = true;
  worker.over = false;
  m_state.place_again = true;
  // Clocks jump, and an entry may be a late one or another writer's, so it does not tell which life
  // is there: the worker is asked, and nothing new is meant for it until its entry is its own.
  if (worker.known && info.born != worker.born)
  {
    worker.ask_at_once |= !worker.other_entry || worker.other_entry->born != info.born;
    worker.other_entry = info;
    return;
  }
  worker.info = info;
  worker.other_entry.reset();
  if (news)
    ask_others_at(info);
  if (news || was_draining != info.draining || !was_listed)
    common::log_process("worker_entry", {{"worker", info.id.value},
                                         {"rack", info.rack},
                                         {"cpu_millis", info.capacity.cpu_millis},
                                         {"memory_mib", info.capacity.memory_mib},
                                         {"draining", info.draining},
                                         {"new", news}});
  if (!worker.claimed && worker.holds_under_way == 0)
    hold(worker, now);
}

// Of two lives with one address only one is still there, and their entries do not tell which: a
// worker behind a cut writes its last entry when the cut heals, after its next life's first one.
// Starting the tasks of the one with the older entry elsewhere had them run in two places. The call
// itself tells, within a round trip: it is answered by the life that it is meant for, or rejected.
void worker_holder::ask_others_at(const worker_info& info)
{
  for (auto& [id, worker] : m_state.workers)
  {
    if (id != info.id && worker->info.address == info.address && !worker->over)
      worker->ask_at_once = true;
  }
}

void worker_holder::on_entry_gone(const worker_id& id, time_point now)
{
  worker_record* const worker = m_state.find_worker(id);
  if (worker == nullptr)
    return;
  worker->listed = false;
  worker->other_entry.reset();
  worker->heard_unlisted = false;
  worker->unlisted_since = now;
  if (worker->claimed && !worker->info.draining)
  {
    worker->forget_at = now + m_state.options.unlisted_most;
    worker->ask_at_once = true;
  }
  common::log_process("worker_entry_gone", {{"worker", id.value},
                                            {"runs", worker->runs.size()},
                                            {"lease_left_ms", worker->lease_end - now}});
}

void worker_holder::life_ended(worker_record& worker, scheduler_state::lost_runs which,
                               const char* why, time_point now)
{
  if (!worker.claimed && worker.claim && !worker.info.draining)
    m_accounting.life_ended(worker.info.id, now);
  m_crashes.worker_ended(worker, which, why, now);
  begin_life(worker, now);
}

void worker_holder::begin_life(worker_record& worker, time_point now)
{
  // Calls to the life before may reach this one, seconds late, with leases and acknowledgements of
  // that one: it has to have seen a token that none of them bears.
  const bool ordered = worker.claimed;
  worker.begin_life(++m_state.lives);
  worker.first_seen = now;
  m_state.forget_tickets(worker.info.id);
  m_state.place_again = true;
  if (!ordered)
    return;
  worker.token_wanted = m_state.newest_token <= worker.token;
  if (!worker.token_wanted)
    worker.token = m_state.newest_token;
}

void worker_holder::token_given()
{
  for (const auto& [id, worker] : m_state.workers)
  {
    if (!(worker->token_wanted || worker->token_outdated) || m_state.newest_token <= worker->token)
      continue;
    worker->token = m_state.newest_token;
    worker->ask_at_once |= worker->token_wanted || !worker->suspect;
    worker->token_wanted = worker->token_outdated = false;
  }
}

void worker_holder::on_other_worker(const worker_id& id, time_point sent, time_point now)
{
  worker_record* const worker = m_state.find_worker(id);
  if (worker == nullptr)
    return;
  if (sent < worker->told_at)
  {
    worker->ask_at_once = true; // it may have begun since
    return;
  }
  life_ended(*worker, scheduler_state::lost_runs::all,
             "another worker answered at the worker's address", now);
  worker->listed = false;
  worker->other_entry.reset();
  worker->over = true;
  worker->told_at = now;
  worker->forget_at = time_point{};
  worker->lease_end = time_point{};
  m_accounting.worker_told(id, now);
}

// An answer tells which life was there between its call and now. If the life known so far had not
// answered after that call was sent, it was there before, so the other one is the later.
bool worker_holder::from_present_life(worker_record& worker, const hold_answer& answer,
                                      time_point now)
{
  const bool same = worker.known && answer.born == worker.born;
  if (!same && (worker.over || answer.sent < worker.told_at))
  {
    worker.ask_at_once = !worker.over;
    return false;
  }
  if (worker.known && !same)
    restarted(worker, answer, now);
  worker.known = true;
  worker.born = answer.born;
  worker.told_at = now;
  worker.life_doubted = false;
  return true;
}

void worker_holder::restarted(worker_record& worker, const hold_answer& answer, time_point now)
{
  common::log_process("worker_restarted", {{"worker", worker.info.id.value},
                                           {"claimed", worker.claimed},
                                           {"runs", worker.runs.size()},
                                           {"listed_at_ms", worker.listed_at},
                                           {"clock_ms", answer.clock.value_or(milliseconds{0})},
                                           {"acknowledged", answer.acknowledged},
                                           {"ends_read", worker.seen}});
  m_state.metrics.add(common::counter::workers_restarted);
  life_ended(worker, scheduler_state::lost_runs::surely_begun,
             "the worker has started again under its id", now);
  // What was sent to the life before may extend this one's leases as far as they go.
  worker.follows_another = true;
  worker.lease_end = now + m_state.options.longest_lease_of_others();
  worker.ask_at_once = true;
  if (worker.other_entry && worker.other_entry->born == answer.born)
  {
    worker.info = *worker.other_entry;
    worker.other_entry.reset();
  }
}

void worker_holder::hold(worker_record& worker, time_point now)
{
  if (!m_state.may_act(now))
    return;
  hold_command order;
  order.worker = worker.info.id;
  order.address =
      worker.suspect && worker.other_entry ? worker.other_entry->address : worker.info.address;
  order.token = worker.token;
  // Ends of another life bear the same numbers, and one that is not known yet may have carried out
  // what was sent since the latest lists: none of its ends is to be forgotten unread.
  const bool surely_there = ends_are_read(worker, now);
  const end_number forgettable = m_copies.acknowledgeable(worker, now);
  order.acknowledged = surely_there ? forgettable : 0;
  // A worker that does not answer gets no longer lease: its runs must end some day. Nor does one of
  // which the store says when they do, until that is taken back.
  if (m_state.orders_begun && worker.claimed && !worker.suspect && worker.clock_ahead &&
      !worker.end_stated())
    order.lease_end = m_state.extended_lease(worker, now);
  // The worker forgets the ends acknowledged here before it looks for news, so the call that tells
  // it of them waits for the next one: one call an end instead of two.
  const bool settled = worker.claimed && !worker.suspect && worker.seen == forgettable;
  const bool forgets = surely_there || forgettable == worker.acknowledged;
  if (settled && forgets && !worker.ask_at_once && !worker.end_stated())
    order.wait = hold_wait();
  worker.ask_at_once = false;
  ++worker.holds_under_way;
  worker.last_hold = now;
  m_state.commands.emplace_back(std::move(order));
}

bool worker_holder::ends_are_read(const worker_record& worker, time_point now) const
{
  if (worker.life_doubted)
    return false;
  const time_point recent =
      now - std::max(m_state.options.fresh_lists, m_state.worker_request_timeout);
  return worker.told_at >= recent ||
         std::none_of(worker.runs.begin(), worker.runs.end(),
                      [recent](const auto& each)
                      { return !each.second->listed && each.second->begun < recent; });
}

milliseconds worker_holder::hold_wait() const
{
  const scheduler_options& options = m_state.options;
  const duration by_workers = options.hold_wait_a_worker * m_state.workers.size();
  return std::chrono::duration_cast<milliseconds>(
      std::clamp(by_workers, options.hold_wait, options.hold_wait_most));
}

bool worker_holder::hold_due(worker_record& worker, time_point now) const
{
  if (worker.over || worker.token_wanted)
    return false;
  const duration since = now - worker.last_hold;
  if (worker.ask_at_once)
    return worker.holds_under_way < k_most_holds;
  if (worker.holds_under_way > 0)
    return false;
  if (!worker.claimed && worker.listed)
    return since >= m_state.options.first_hold_retry;
  if (!worker.claimed || worker.suspect || worker.end_stated())
    return since >= m_state.options.hold_retry;
  if (m_copies.acknowledgeable(worker, now) > worker.acknowledged)
    return true;
  // Ends that are not written yet would be listed again at once.
  if (worker.seen > worker.durable)
    return since >= m_state.options.hold_refresh;
  // Nor does a hold wait for news beside ends that are kept, so the worker is asked often.
  if (!worker.kept_ends.empty())
    return since >= m_state.options.hold_retry;
  return !worker.runs.empty() || !worker.foreign.empty();
}

duration worker_holder::overdue(const worker_record& worker, time_point now) const
{
  const bool extended = worker.claimed && !(worker.runs.empty() && worker.foreign.empty());
  const bool asked = !worker.claimed && worker.taken_over;
  if (worker.over || worker.token_wanted || !(extended || asked))
    return duration{0};
  const duration takes =
      hold_wait() + std::max(m_state.worker_request_timeout, m_state.options.hold_retry);
  return std::max(duration{0}, now - worker.last_hold - takes);
}

void worker_holder::on_hold(const hold_answer& answer, time_point now)
{
  if (answer.end == call_end::fenced)
  {
    m_state.note_fenced(answer.worker, answer.token);
    if (m_state.fenced)
      return;
  }
  worker_record* const worker = m_state.find_worker(answer.worker);
  if (worker == nullptr)
    return;
  if (!answer.late && worker->holds_under_way > 0)
    --worker->holds_under_way;
  if (answer.end == call_end::other_life)
  {
    on_other_worker(answer.worker, answer.sent, now);
    return;
  }
  // What a call with an earlier token met says nothing of what the next ones will.
  if (answer.end == call_end::fenced)
    return;
  const bool lost = answer.end != call_end::done;
  if (!lost && !from_present_life(*worker, answer, now))
    return;
  if (lost != worker->suspect)
    common::log_process(lost ? "worker_silent" : "worker_heard",
                        {{"worker", worker->info.id.value},
                         {"end", to_text(answer.end)},
                         {"runs", worker->runs.size()},
                         {"waited_for", m_accounting.waits_for(answer.worker)},
                         {"lease_left_ms", worker->lease_end - now}});
  if (lost && !worker->suspect)
    m_accounting.tell_listed(*worker, now);
  worker->set_suspect(lost, now);
  worker->life_doubted |= lost;
  if (lost)
    m_state.outdate_token(*worker);
  note_unlisted(*worker, !lost && answer.sent >= worker->unlisted_since);
  if (lost)
    return;
  m_state.note_heard(*worker);
  worker->heard_at = now;
  if (answer.clock)
    worker->clock_ahead =
        *answer.clock - std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
  // The life has not seen the present token yet: older calls may still change what it lists.
  if (answer.token < worker->token || worker->token_wanted)
    return;
  if (!worker->claimed)
  {
    worker->claimed = true;
    // From now on no earlier owner extends anything there.
    if (!worker->end_stated())
      worker->lease_end = now + (worker->follows_another ? m_state.options.longest_lease_of_others()
                                                         : m_state.options.longest_lease());
    m_state.place_again = true;
  }
  if (answer.clock && *answer.clock < worker->listed_at)
    return; // a later answer was faster
  worker->listed_at = answer.clock.value_or(worker->listed_at);
  // The answer shows which acknowledgement has arrived: ends up to it are listed no more.
  worker->acknowledged = std::max(worker->acknowledged, answer.acknowledged);
  m_follower.on_lists(*worker, answer, now);
  m_accounting.worker_told(worker->info.id, now);
}

// A worker without an entry is there as long as it answers.
void worker_holder::note_unlisted(worker_record& worker, bool heard)
{
  const bool usable = worker.info.capacity.cpu_millis > 0 && !worker.info.draining &&
                      worker.described() && !worker.over;
  const bool there = heard && usable && !worker.listed;
  if (there == worker.heard_unlisted)
    return;
  worker.heard_unlisted = there;
  m_state.place_again = true;
  common::log_process("worker_unlisted", {{"worker", worker.info.id.value}, {"answers", there}});
}

void worker_holder::tick(time_point now)
{
  if (m_accounting.under_way())
    m_accounting.give_up_unheard(now);
  m_unheard = 0;
  for (auto each = m_state.workers.begin(); each != m_state.workers.end();)
  {
    worker_record& worker = *each->second;
    m_unheard += worker.taken_over && !worker.claimed ? 1 : 0;
    if (!worker.runs.empty() && now >= worker.lease_end)
      m_crashes.leases_over(worker, "its lease is over", now);
    if (!worker.present() && worker.runs.empty() && worker.holds_under_way == 0 &&
        !worker.claim_sent && now >= std::max(worker.lease_end, worker.forget_at))
    {
      if (worker.claim)
        m_state.released.insert(each->first);
      each = m_state.workers.erase(each);
      continue;
    }
    if (hold_due(worker, now))
      hold(worker, now);
    ++each;
  }
}

} // namespace yardhill::scheduling
