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

// Candidates try one after the other, so that the second finds the first one's claims.
constexpr duration k_rank_step = std::chrono::milliseconds{400};
// Without word from a majority of workers a living owner is not pushed aside before this.
constexpr duration k_minority_patience = std::chrono::seconds{10};
constexpr duration k_first_look = std::chrono::milliseconds{300};
// How long claims of a new term may take to reach a majority before the owner goes on without.
constexpr duration k_claiming_time = std::chrono::seconds{3};
constexpr duration k_taking_time = std::chrono::seconds{3};
// How soon after its connections broke an owner is looked for.
constexpr duration k_unlinked_look = std::chrono::milliseconds{200};
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
      m_last_heard(now - options.owner_silence + k_first_look)
{
}

void partition_ownership::configure(const std::vector<worker_id>& workers, time_point now)
{
  std::vector<lost_worker> gone = m_claims.configure(workers, now);
  m_probe.keep_only(workers);
  // What runs there ends with its leases.
  if (owns())
    std::ranges::move(gone, std::back_inserter(m_output.lost_workers));
}

void partition_ownership::learn(const instance_id& owner, term_number term)
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
  learn(owner, term);
  m_last_heard = now;
  if (m_phase == ownership_phase::probing)
    m_phase = ownership_phase::following;
  const bool ours_is_over =
      term > m_term && (m_phase == ownership_phase::owning || m_phase == ownership_phase::claiming);
  if (ours_is_over)
    step_down(now);
}

void partition_ownership::term_seen(const instance_id& owner, term_number term)
{
  if (owner != m_self)
    learn(owner, term);
}

void partition_ownership::handed_over(term_number term, time_point now)
{
  const bool busy = m_phase == ownership_phase::owning || m_phase == ownership_phase::claiming;
  if (term < m_known_term || !m_candidate || busy)
    return;
  begin_taking(term + 1, now);
  m_offered = true;
}

void partition_ownership::begin_probing(time_point now)
{
  m_phase = ownership_phase::probing;
  m_phase_ends = now + m_options.probe_time;
  m_probe.clear();
  send(m_claims.probes());
}

void partition_ownership::send(std::vector<worker_claim> claims)
{
  std::ranges::move(claims, std::back_inserter(m_output.claims));
}

void partition_ownership::end_probing(time_point now)
{
  const owner_probe::findings found = m_probe.evaluate(m_known_term, claim_age_allowed());
  m_phase = ownership_phase::following;
  const bool owner_lives = m_claims.is_majority(found.alive);
  const bool majority = m_claims.is_majority(m_probe.answers());
  if (owner_lives || !m_candidate)
  {
    // Look again when these claims have grown too old to speak for it.
    const duration left = m_candidate ? claim_age_allowed() - found.youngest : silence_allowed();
    m_last_heard = now - silence_allowed() + std::max(left, m_options.claim_retry);
    m_first_silence = time_point{};
    return;
  }
  if (!majority && m_first_silence == time_point{})
    m_first_silence = now;
  if (!majority && now < m_first_silence + k_minority_patience)
  {
    m_last_heard = now - m_options.owner_silence + m_options.claim_retry;
    return;
  }
  begin_taking(found.highest + 1, now);
}

void partition_ownership::begin_taking(term_number term, time_point now)
{
  m_phase = ownership_phase::taking;
  m_phase_ends = now + k_taking_time;
  m_offered = false;
  m_term = term;
  m_output.requested_term = term;
}

void partition_ownership::term_allotted(term_number term, time_point now)
{
  if (m_phase != ownership_phase::taking && m_phase != ownership_phase::owning)
    return;
  begin_claiming(term, now);
  m_allotted = true;
}

void partition_ownership::term_conflict(const instance_id& owner, term_number term, time_point now)
{
  learn(owner, term);
  if (m_phase == ownership_phase::owning && m_contested == k_never)
    m_contested = now;
  if (m_phase != ownership_phase::taking)
    return;
  m_phase = ownership_phase::following;
  m_last_heard = now;
}

void partition_ownership::term_unavailable(time_point now)
{
  if (m_phase != ownership_phase::taking)
    return;
  // Without the table only a majority of workers can allot a term.
  if (m_offered || m_claims.is_majority(m_probe.answers()))
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
  learn(m_self, term);
  m_first_silence = time_point{};
  m_contested = k_never;
  m_foreign_until = now + m_options.longest_foreign_run();
  if (was_owner)
    return; // a higher term for what is owned already: the next claims carry it
  m_phase = ownership_phase::claiming;
  m_allotted = false;
  m_phase_ends = now + k_claiming_time;
  m_waiting_reports.clear();
  m_all_claimed_told = false;
  m_probe.clear();
  m_claims.begin_term();
  send(m_claims.due_claims(m_term, now));
}

void partition_ownership::claim_answered(const worker_id& worker, const claim_request& request,
                                         const claim_answer& news, time_point sent_at,
                                         time_point now)
{
  if (!m_claims.call_ended(worker))
    return;
  if (request.term == 0)
    m_probe.answered(worker, news);
  const bool holds = m_phase == ownership_phase::claiming || m_phase == ownership_phase::owning;
  if (!holds)
  {
    learn(news.owner, news.term);
    return;
  }
  if (request.term != m_term)
  {
    // A probe or an earlier term's claim came back late.
    m_output.claims.push_back(m_claims.claim_of(worker, m_term, now));
    return;
  }
  if (!news.accepted)
  {
    claim_refused(news, now);
    return;
  }
  m_claims.confirmed(worker, news, sent_at, now);
  std::vector<worker_report>& reports = owns() ? m_output.reports : m_waiting_reports;
  reports.push_back({worker, news, request.void_tickets});
  if (m_phase == ownership_phase::claiming && has_majority(now))
    become_owner();
  if (!m_all_claimed_told && claimed_workers() == m_claims.size() && owns())
  {
    m_all_claimed_told = true;
    m_output.every_worker_claimed = true;
  }
}

void partition_ownership::become_owner()
{
  m_phase = ownership_phase::owning;
  m_output.became_owner = true;
  m_output.reports = std::exchange(m_waiting_reports, {});
  m_metrics.add(counter::takeovers);
}

void partition_ownership::claim_refused(const claim_answer& news, time_point now)
{
  learn(news.owner, news.term);
  m_known_term = std::max(m_known_term, news.term);
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
  if (std::optional<lost_worker> lost = m_claims.lose(worker))
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
  m_contested = k_never;
  m_last_heard = now;
  m_output.claims.clear();
  m_output.reports.clear();
  m_waiting_reports.clear();
  m_output.became_owner = false;
}

// A living owner claims each worker again as soon as the worker has answered.
duration partition_ownership::claim_age_allowed() const
{
  return m_options.claim_wait + m_options.claim_wait / 2;
}

void partition_ownership::peer_unlinked(const instance_id& peer, time_point now)
{
  if (peer == m_known_owner && m_phase == ownership_phase::following)
    m_last_heard = std::min(m_last_heard, now - silence_allowed() + k_unlinked_look);
}

duration partition_ownership::silence_allowed() const
{
  return m_options.owner_silence + k_rank_step * static_cast<duration::rep>(m_rank);
}

void partition_ownership::advance(time_point now)
{
  if (m_claims.size() == 0)
    return;
  switch (m_phase)
  {
  case ownership_phase::following:
    if (m_candidate && now >= m_last_heard + silence_allowed())
      begin_probing(now);
    break;
  case ownership_phase::probing:
    if (m_probe.answers() == m_claims.size() || now >= m_phase_ends)
      end_probing(now);
    break;
  case ownership_phase::taking:
    if (now >= m_phase_ends)
      term_unavailable(now);
    break;
  case ownership_phase::claiming:
    // With the table's word alone, what only this owner knows can run on the workers held.
    if (now >= m_phase_ends && m_allotted)
      become_owner();
    else if (now >= m_phase_ends)
      step_down(now);
    break;
  case ownership_phase::owning:
    if (m_contested != k_never)
      settle_contest(now);
    break;
  }
  if (m_phase == ownership_phase::claiming || m_phase == ownership_phase::owning)
    send(m_claims.due_claims(m_term, now));
}

// The table names another owner. Who still has a majority of the workers afterwards is the owner.
void partition_ownership::settle_contest(time_point now)
{
  if (m_claims.is_majority(m_claims.confirmed_since(m_contested)))
  {
    m_contested = k_never;
    m_output.requested_term = m_known_term + 1;
  }
  else if (now > m_contested + m_options.confirm_window)
  {
    step_down(now);
  }
}

time_point partition_ownership::next_timer() const
{
  switch (m_phase)
  {
  case ownership_phase::following:
    return m_candidate ? m_last_heard + silence_allowed() : k_never;
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
