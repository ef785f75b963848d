// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Decides whether this instance owns a partition, and claims the partition's workers for it.
//
// A deterministic state machine. The table service normally allots terms; the workers always
// enforce them. An owner is an instance whose term a majority of the partition's workers confirmed
// a short while ago. While the table service is unavailable, a majority of workers is enough to
// take a term.

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
  following, // another instance owns the partition, as far as is known
  probing,   // the owner is silent; the workers are asked about it
  taking,    // the table service is asked for the next term
  claiming,  // the workers are asked to confirm the new term
  owning
};

std::string_view to_text(ownership_phase phase);

struct worker_report
{
  worker_id worker;
  claim_answer news;
  bool voided = false; // the confirmed claim voided all earlier tickets
};

struct ownership_output
{
  std::vector<worker_claim> claims;
  std::optional<term_number> requested_term; // the least term to request from the table service
  bool became_owner = false;
  bool lost = false; // this instance no longer owns the partition
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

  // A living owner announced itself: a heartbeat names it and its term.
  void owner_heard(const instance_id& owner, term_number term, time_point now);
  // The connections to this peer broke. If the peer is the owner, it may be dead.
  void peer_unlinked(const instance_id& peer, time_point now);
  // The table's row names this owner, which does not show whether the owner is alive.
  void term_observed(const instance_id& owner, term_number term);
  // The owner hands the partition over to this instance.
  void handed_over(term_number term, time_point now);
  // This instance's place among those that may take the partition, 0 being the first.
  void set_rank(std::size_t rank) { m_rank = rank; }
  // A stopping instance takes nothing.
  void set_candidate(bool candidate) { m_candidate = candidate; }

  // The outcomes of `requested_term`.
  void term_allotted(term_number term, time_point now);
  void term_conflict(const instance_id& owner, term_number term, time_point now);
  void term_unavailable(time_point now);

  void claim_answered(const worker_id& worker, const claim_request& request,
                      const claim_answer& reply, time_point sent_at, time_point now);
  void claim_failed(const worker_id& worker, const claim_request& request, time_point now);
  // Makes the next claim to this worker void all tickets that the worker issued before it.
  void void_tickets(const worker_id& worker) { m_claims.void_tickets(worker); }
  // The worker may forget its ended attempts up to this sequence number.
  void set_acknowledged(const worker_id& worker, std::uint64_t sequence)
  {
    m_claims.set_acknowledged(worker, sequence);
  }
  // Steps down voluntarily and ends the candidacy; does nothing while the phase is `following`.
  void release_ownership(time_point now);

  void advance(time_point now);
  time_point next_timer() const;
  ownership_output take_output();

  ownership_phase phase() const { return m_phase; }
  bool owns() const { return m_phase == ownership_phase::owning; }
  term_number term() const { return m_term; }
  // The highest term known from any source, and its owner.
  term_number known_term() const { return m_known_term; }
  const instance_id& known_owner() const { return m_known_owner; }
  // A majority of the workers confirmed the term within the confirm window.
  bool has_majority(time_point now) const;
  // The time until which tasks started by other owners may still run at workers that were not
  // claimed at the current term.
  time_point other_owners_runs_end() const { return m_other_owners_runs_end; }
  // The ticket and boot for a start request, if this instance owns the partition, the worker has
  // confirmed the term and its ticket is still valid.
  std::optional<start_permit> permit_for(const worker_id& worker, time_point now) const;
  std::size_t claimed_workers() const { return m_claims.claimed(); }

private:
  void begin_probing(time_point now);
  void end_probing(time_point now);
  void begin_taking(term_number term, time_point now);
  void begin_claiming(term_number term, time_point now);
  void send(std::vector<worker_claim> claims);
  void claim_refused(const claim_answer& reply, time_point now);
  void become_owner();
  void resolve_contest(time_point now);
  void step_down(time_point now);
  void update_known_term(const instance_id& owner, term_number term);
  duration silence_timeout() const;
  duration max_living_claim_age() const;

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
  time_point m_contested_since = k_never; // when the table was first seen to name another owner
  time_point m_minority_since{};          // since when probes have had no majority of replies
  time_point m_phase_ends = k_never;
  time_point m_other_owners_runs_end{};
  std::size_t m_rank = 0;
  bool m_candidate = true;
  bool m_all_claimed_reported = false;
  bool m_handover_offered = false;              // the previous owner handed the partition over
  bool m_term_from_table = false;               // the table service allotted the current term
  std::vector<worker_report> m_pending_reports; // kept until a majority confirms the term
  ownership_output m_output;
};
} // namespace yardhill::ownership
