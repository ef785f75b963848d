// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Whether this instance owns a partition, and its standing at the partition's workers.
//
// A deterministic state machine. The table service normally allots terms; the workers always
// enforce them. An owner is one whose term a majority of the partition's workers confirmed a short
// while ago; with the table service away a majority of workers is enough to take a term.

#include <cstdint>
#include <optional>
#include <vector>

#include "Common/Ids.h"
#include "Common/Metrics.h"
#include "Common/Options.h"
#include "Common/Time.h"
#include "Common/WorkerMessages.h"
#include "Ownership/OwnerProbe.h"
#include "Ownership/WorkerClaims.h"

namespace yardhill::ownership
{
using namespace common;

enum class ownership_phase
{
  following, // somebody else owns it, as far as is known
  probing,   // the owner is silent: asking the workers about it
  taking,    // the table service is asked for the next term
  claiming,  // telling the workers of the new term
  owning
};

std::string_view to_text(ownership_phase phase);

struct worker_report
{
  worker_id worker;
  claim_answer news;
  bool voided = false;
};

struct ownership_output
{
  std::vector<worker_claim> claims;
  std::optional<term_number> requested_term; // to be asked of the table service, at least this
  bool became_owner = false;
  bool lost = false;
  bool every_worker_claimed = false;
  std::vector<worker_report> reports;
  std::vector<lost_worker> lost_workers;
};

class partition_ownership
{
public:
  partition_ownership(partition_id partition, instance_id self, const ownership_options& options,
                      metrics& counts, time_point now);

  void configure(const std::vector<worker_id>& workers, time_point now);

  // A heartbeat or the table's row names this owner.
  void owner_heard(const instance_id& owner, term_number term, time_point now);
  // The connections to this peer broke; if it is the owner it may be dead.
  void peer_unlinked(const instance_id& peer, time_point now);
  // The table's row names it, which says nothing of whether it lives.
  void term_seen(const instance_id& owner, term_number term);
  // The owner hands the partition over to this instance.
  void handed_over(term_number term, time_point now);
  // This instance's place among those that may take the partition, 0 being the first.
  void set_rank(std::size_t rank) { m_rank = rank; }
  // A stopping instance takes nothing.
  void set_candidate(bool candidate) { m_candidate = candidate; }

  // Answers to `requested_term`.
  void term_allotted(term_number term, time_point now);
  void term_conflict(const instance_id& owner, term_number term, time_point now);
  void term_unavailable(time_point now);

  void claim_answered(const worker_id& worker, const claim_request& request,
                      const claim_answer& news, time_point sent_at, time_point now);
  void claim_failed(const worker_id& worker, const claim_request& request, time_point now);
  // The next claim to this worker voids all tickets given out before it.
  void void_tickets(const worker_id& worker) { m_claims.void_tickets(worker); }
  void set_acknowledged(const worker_id& worker, std::uint64_t sequence)
  {
    m_claims.set_acknowledged(worker, sequence);
  }
  // Gives the partition up of its own accord.
  void release_ownership(time_point now);

  void advance(time_point now);
  time_point next_timer() const;
  ownership_output take_output();

  ownership_phase phase() const { return m_phase; }
  bool owns() const { return m_phase == ownership_phase::owning; }
  term_number term() const { return m_term; }
  // The highest term known and whose it is, wherever learned.
  term_number known_term() const { return m_known_term; }
  const instance_id& known_owner() const { return m_known_owner; }
  // A majority of the workers confirmed the term within the confirm window.
  bool has_majority(time_point now) const;
  // Until when other owners' starts may still run at workers that were not claimed at this term.
  time_point other_owners_runs_end() const { return m_foreign_until; }
  // The ticket and boot to start with, if this worker was claimed and its ticket is still good.
  std::optional<start_permit> permit_for(const worker_id& worker, time_point now) const;
  std::size_t claimed_workers() const { return m_claims.claimed(); }

private:
  void begin_probing(time_point now);
  void end_probing(time_point now);
  void begin_taking(term_number term, time_point now);
  void begin_claiming(term_number term, time_point now);
  void send(std::vector<worker_claim> claims);
  void claim_refused(const claim_answer& news, time_point now);
  void become_owner();
  void settle_contest(time_point now);
  void step_down(time_point now);
  void learn(const instance_id& owner, term_number term);
  duration silence_allowed() const;
  duration claim_age_allowed() const;

  instance_id m_self;
  const ownership_options& m_options;
  metrics& m_metrics;
  worker_claims m_claims;
  owner_probe m_probe;
  ownership_phase m_phase = ownership_phase::following;
  term_number m_term = 0;
  term_number m_known_term = 0;
  instance_id m_known_owner;
  time_point m_last_heard;
  time_point m_contested = k_never; // since when the table names another owner
  time_point m_first_silence{};     // since when probes have not reached a majority
  time_point m_phase_ends = k_never;
  time_point m_foreign_until{};
  std::size_t m_rank = 0;
  bool m_candidate = true;
  bool m_all_claimed_told = false;
  bool m_offered = false;                       // the owner itself handed the partition over
  bool m_allotted = false;                      // the present term came from the table service
  std::vector<worker_report> m_waiting_reports; // until a majority makes this the owner
  ownership_output m_output;
};
} // namespace yardhill::ownership
