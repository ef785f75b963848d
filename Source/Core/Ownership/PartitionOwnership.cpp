// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Ownership/PartitionOwnership.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "Common/EnumNames.h"

namespace yardhill::ownership
{
namespace
{
constexpr auto k_phase_names =
    std::to_array<std::string_view>({"following", "probing", "taking", "claiming", "owning"});

// Candidates start probing one after the other by this interval per rank, so that the second
// candidate finds the first one's claims at the workers.
constexpr duration k_candidate_stagger = std::chrono::milliseconds{400};
// While no majority of workers replies to probes, the owner may be alive. A candidate takes the
// partition only when this much time has passed since the first such round of probes.
constexpr duration k_minority_takeover_delay = std::chrono::seconds{10};
// From the creation of the state machine to the first probe, for the candidate of rank 0.
constexpr duration k_initial_probe_delay = std::chrono::milliseconds{300};
// If the claims of a new term reach no majority of workers within this time, the instance becomes
// owner without a majority if the table allotted the term, and steps down otherwise.
constexpr duration k_claiming_timeout = std::chrono::seconds{3};
// A table that has not answered a term request by then counts as unavailable.
constexpr duration k_taking_timeout = std::chrono::seconds{3};
// From the loss of the connections to the owner to the probe of the workers.
constexpr duration k_unlinked_probe_delay = std::chrono::milliseconds{200};
} // namespace

std::string_view to_text(ownership_phase phase)
{
  return name_of(k_phase_names, phase);
}

partition_ownership::partition_ownership(partition_id partition, instance_id self,
                                         const ownership_options& options, metrics& counts,
                                         time_point now)
    : m_self(std::move(self)),
      m_options(options),
      m_metrics(counts),
      m_claims(std::move(partition), m_self, options),
      m_probe(m_self),
      m_last_heard(now - options.owner_silence + k_initial_probe_delay)
{
}

void partition_ownership::configure(const std::vector<worker_id>& workers, time_point now)
{
  std::vector<lost_worker> gone = m_claims.configure(workers, now);
  m_probe.keep_only(workers);
  // Whatever runs on the removed workers ends when its leases expire.
  if (owns())
    std::ranges::move(gone, std::back_inserter(m_output.lost_workers));
}

void partition_ownership::update_known_term(const instance_id& owner, term_number term)
{
  if (term <= m_known_term)
    return;
  m_known_term = term;
  m_known_owner = owner;
}

void partition_ownership::owner_heard(const instance_id& owner, term_number term, time_point now)
{
  if (term < m_known_term || owner == m_self)
    return;
  update_known_term(owner, term);
  m_last_heard = now;
  if (m_phase == ownership_phase::probing)
    m_phase = ownership_phase::following;
  const bool superseded =
      term > m_term && (m_phase == ownership_phase::owning || m_phase == ownership_phase::claiming);
  if (superseded)
    step_down(now);
}

void partition_ownership::term_observed(const instance_id& owner, term_number term)
{
  if (owner != m_self)
    update_known_term(owner, term);
}

void partition_ownership::handed_over(term_number term, time_point now)
{
  const bool busy = m_phase == ownership_phase::owning || m_phase == ownership_phase::claiming;
  if (term < m_known_term || !m_candidate || busy)
    return;
  begin_taking(term + 1, now);
  m_handover_offered = true;
}

void partition_ownership::begin_probing(time_point now)
{
  m_phase = ownership_phase::probing;
  m_phase_ends = now + m_options.probe_duration;
  m_probe.clear();
  send(m_claims.probes());
}

void partition_ownership::send(std::vector<worker_claim> claims)
{
  std::ranges::move(claims, std::back_inserter(m_output.claims));
}

void partition_ownership::end_probing(time_point now)
{
  const owner_probe::findings found = m_probe.evaluate(m_known_term, max_living_claim_age());
  m_phase = ownership_phase::following;
  const bool owner_lives = m_claims.is_majority(found.living_owner_claims);
  const bool majority = m_claims.is_majority(m_probe.reply_count());
  if (owner_lives || !m_candidate)
  {
    // Probe again when the youngest of these claims has become too old to show a living owner.
    const duration left =
        m_candidate ? max_living_claim_age() - found.youngest_claim_age : silence_timeout();
    m_last_heard = now - silence_timeout() + std::max(left, m_options.claim_retry);
    m_minority_since = time_point{};
    return;
  }
  if (!majority && m_minority_since == time_point{})
    m_minority_since = now;
  if (!majority && now < m_minority_since + k_minority_takeover_delay)
  {
    m_last_heard = now - m_options.owner_silence + m_options.claim_retry;
    return;
  }
  begin_taking(found.highest_term + 1, now);
}

void partition_ownership::begin_taking(term_number term, time_point now)
{
  m_phase = ownership_phase::taking;
  m_phase_ends = now + k_taking_timeout;
  m_handover_offered = false;
  m_term = term;
  m_output.requested_term = term;
}

void partition_ownership::term_allotted(term_number term, time_point now)
{
  if (m_phase != ownership_phase::taking && m_phase != ownership_phase::owning)
    return;
  begin_claiming(term, now);
  m_term_from_table = true;
}

void partition_ownership::term_conflict(const instance_id& owner, term_number term, time_point now)
{
  update_known_term(owner, term);
  if (m_phase == ownership_phase::owning && m_contested_since == k_never)
    m_contested_since = now;
  if (m_phase != ownership_phase::taking)
    return;
  m_phase = ownership_phase::following;
  m_last_heard = now;
}

void partition_ownership::term_unavailable(time_point now)
{
  if (m_phase != ownership_phase::taking)
    return;
  // Without the table only a majority of workers can allot a term. After a handover by the owner
  // the workers are claimed without a probe.
  if (m_handover_offered || m_claims.is_majority(m_probe.reply_count()))
  {
    begin_claiming(m_term, now);
    return;
  }
  m_phase = ownership_phase::following;
  m_last_heard = now;
}

void partition_ownership::begin_claiming(term_number term, time_point now)
{
  const bool was_owner = m_phase == ownership_phase::owning;
  m_term = term;
  update_known_term(m_self, term);
  m_minority_since = time_point{};
  m_contested_since = k_never;
  m_other_owners_runs_end = now + m_options.longest_foreign_run();
  if (was_owner)
    return; // already the owner: the next claims carry the higher term
  m_phase = ownership_phase::claiming;
  m_term_from_table = false;
  m_phase_ends = now + k_claiming_timeout;
  m_pending_reports.clear();
  m_all_claimed_reported = false;
  m_probe.clear();
  m_claims.begin_term();
  send(m_claims.due_claims(m_term, now));
}

void partition_ownership::claim_answered(const worker_id& worker, const claim_request& request,
                                         const claim_answer& reply, time_point sent_at,
                                         time_point now)
{
  if (!m_claims.call_ended(worker))
    return;
  if (request.term == 0)
    m_probe.record_reply(worker, reply);
  const bool is_claimant =
      m_phase == ownership_phase::claiming || m_phase == ownership_phase::owning;
  if (!is_claimant)
  {
    update_known_term(reply.owner, reply.term);
    return;
  }
  if (request.term != m_term)
  {
    // This is a late reply to a probe or to a claim of an earlier term, so that the worker still
    // has to be claimed at the current term.
    m_output.claims.push_back(m_claims.immediate_claim(worker, m_term, now));
    return;
  }
  if (!reply.accepted)
  {
    claim_refused(reply, now);
    return;
  }
  m_claims.confirmed(worker, reply, sent_at, now);
  std::vector<worker_report>& reports = owns() ? m_output.reports : m_pending_reports;
  reports.push_back({worker, reply, request.void_tickets});
  if (m_phase == ownership_phase::claiming && has_majority(now))
    become_owner();
  if (!m_all_claimed_reported && claimed_workers() == m_claims.size() && owns())
  {
    m_all_claimed_reported = true;
    m_output.every_worker_claimed = true;
  }
}

void partition_ownership::become_owner()
{
  m_phase = ownership_phase::owning;
  m_output.became_owner = true;
  m_output.reports = std::exchange(m_pending_reports, {});
  m_metrics.add(counter::takeovers);
}

void partition_ownership::claim_refused(const claim_answer& reply, time_point now)
{
  update_known_term(reply.owner, reply.term);
  m_known_term = std::max(m_known_term, reply.term);
  step_down(now);
}

void partition_ownership::claim_failed(const worker_id& worker, const claim_request& request,
                                       time_point now)
{
  if (!m_claims.call_ended(worker))
    return;
  m_claims.failed(worker, request, now);
  if (request.term == 0)
    return;
  m_metrics.add(retry_reason::claim_failed);
  if (!owns())
    return;
  if (std::optional<lost_worker> lost = m_claims.mark_lost(worker))
    m_output.lost_workers.push_back(std::move(*lost));
}

void partition_ownership::release_ownership(time_point now)
{
  if (m_phase == ownership_phase::following)
    return;
  m_candidate = false;
  step_down(now);
}

void partition_ownership::step_down(time_point now)
{
  if (owns())
  {
    m_output.lost = true;
    m_metrics.add(counter::owner_lost);
  }
  m_phase = ownership_phase::following;
  m_contested_since = k_never;
  m_last_heard = now;
  m_output.claims.clear();
  m_output.reports.clear();
  m_pending_reports.clear();
  m_output.became_owner = false;
}

// The age up to which a claim shows a living owner. A living owner claims each worker again as soon
// as the worker has replied, and the worker may hold its reply for claim_wait.
duration partition_ownership::max_living_claim_age() const
{
  return m_options.claim_wait + m_options.claim_wait / 2;
}

void partition_ownership::peer_unlinked(const instance_id& peer, time_point now)
{
  if (peer == m_known_owner && m_phase == ownership_phase::following)
    m_last_heard = std::min(m_last_heard, now - silence_timeout() + k_unlinked_probe_delay);
}

duration partition_ownership::silence_timeout() const
{
  return m_options.owner_silence + k_candidate_stagger * static_cast<duration::rep>(m_rank);
}

void partition_ownership::advance(time_point now)
{
  if (m_claims.size() == 0)
    return;
  switch (m_phase)
  {
  case ownership_phase::following:
    if (m_candidate && now >= m_last_heard + silence_timeout())
      begin_probing(now);
    break;
  case ownership_phase::probing:
    if (m_probe.reply_count() == m_claims.size() || now >= m_phase_ends)
      end_probing(now);
    break;
  case ownership_phase::taking:
    if (now >= m_phase_ends)
      term_unavailable(now);
    break;
  case ownership_phase::claiming:
    // A term allotted by the table suffices without a majority: tasks that only this owner knows
    // can run on the workers that confirmed the term.
    if (now >= m_phase_ends && m_term_from_table)
      become_owner();
    else if (now >= m_phase_ends)
      step_down(now);
    break;
  case ownership_phase::owning:
    if (m_contested_since != k_never)
      resolve_contest(now);
    break;
  }
  if (m_phase == ownership_phase::claiming || m_phase == ownership_phase::owning)
    send(m_claims.due_claims(m_term, now));
}

// Called while the table names another owner. The owner is the instance whose claims a majority of
// the workers confirms after the table was first seen to do so.
void partition_ownership::resolve_contest(time_point now)
{
  if (m_claims.is_majority(m_claims.confirmed_since(m_contested_since)))
  {
    m_contested_since = k_never;
    m_output.requested_term = m_known_term + 1;
  }
  else if (now > m_contested_since + m_options.confirm_window)
  {
    step_down(now);
  }
}

time_point partition_ownership::next_timer() const
{
  switch (m_phase)
  {
  case ownership_phase::following:
    return m_candidate ? m_last_heard + silence_timeout() : k_never;
  case ownership_phase::probing:
  case ownership_phase::taking:
    return m_phase_ends;
  case ownership_phase::claiming:
  case ownership_phase::owning:
    break;
  }
  const time_point phase_ends = m_phase == ownership_phase::claiming ? m_phase_ends : k_never;
  return std::min(phase_ends, m_claims.next_due());
}

ownership_output partition_ownership::take_output()
{
  return std::exchange(m_output, {});
}

bool partition_ownership::has_majority(time_point now) const
{
  return m_claims.is_majority(m_claims.confirmed_since(now - m_options.confirm_window));
}

std::optional<start_permit> partition_ownership::permit_for(const worker_id& worker,
                                                            time_point now) const
{
  if (!owns())
    return std::nullopt;
  return m_claims.permit_for(worker, now);
}

} // namespace yardhill::ownership
