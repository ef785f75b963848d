// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The state of a partition's claims at its workers: the one call that may be in flight to each
// worker, which workers confirmed the current term and when, and the tickets for starts that they
// issued.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/Ids.h"
#include "Common/Options.h"
#include "Common/Time.h"
#include "Common/WorkerMessages.h"

namespace yardhill::ownership
{
using namespace common;

struct worker_claim
{
  worker_id worker;
  claim_request request;
};

struct lost_worker
{
  worker_id worker;
  time_point lapses; // when the leases of all runs on the worker have expired
};

// What a start request has to carry for its worker to accept it.
struct start_permit
{
  std::string boot;
  std::uint64_t ticket = 0;
};

class worker_claims
{
public:
  worker_claims(partition_id partition, instance_id self, const ownership_options& options);

  // Sets the partition's workers. Returns the claimed workers that were removed: they are not
  // claimed any more. Workers that were lost already are left out.
  std::vector<lost_worker> configure(const std::vector<worker_id>& workers, time_point now);
  std::size_t size() const { return m_links.size(); }
  bool is_majority(std::size_t workers) const { return workers * 2 > m_links.size(); }

  // Begins a new term, which no worker has confirmed yet.
  void begin_term();
  // Returns requests that ask about the owner and claim nothing, one for each worker without a call
  // in flight.
  std::vector<worker_claim> probes();
  // Returns claims of `term` for each worker whose next claim is due and that has no call in
  // flight.
  std::vector<worker_claim> due_claims(term_number term, time_point now);
  // Returns a claim of `term` for this worker, whether or not its next claim is due.
  worker_claim immediate_claim(const worker_id& worker, term_number term, time_point now);

  // The call to this worker ended, with or without a reply. Returns false if the worker is not one
  // of the partition's.
  bool call_ended(const worker_id& worker);
  void confirmed(const worker_id& worker, const claim_answer& reply, time_point sent_at,
                 time_point now);
  void failed(const worker_id& worker, const claim_request& request, time_point now);
  // Records that a claimed worker does not answer. Returns nothing if the worker is lost already or
  // was not claimed.
  std::optional<lost_worker> mark_lost(const worker_id& worker);

  // Makes the next claim to this worker void all tickets that the worker issued before it.
  void void_tickets(const worker_id& worker);
  // The worker may forget its ended attempts up to this sequence number.
  void set_acknowledged(const worker_id& worker, std::uint64_t sequence);

  std::size_t claimed() const;
  // The number of workers that confirmed the term by a claim sent at `earliest` or later.
  std::size_t confirmed_since(time_point earliest) const;
  // Returns nothing unless this worker was claimed, is not lost and its ticket is still valid.
  std::optional<start_permit> permit_for(const worker_id& worker, time_point now) const;
  // When the next claim is due; k_never if a call is in flight to every worker.
  time_point next_due() const;

private:
  struct worker_link
  {
    bool outstanding = false;
    bool claimed = false; // at the current term
    bool lost = false;
    bool void_tickets_next = false;
    time_point next_claim{};
    time_point confirmed_sent_at{}; // when the latest accepted claim was sent
    time_point answered_at{};       // when its reply came
    std::string boot;
    std::uint64_t ticket = 0;
    std::uint64_t acknowledged_sequence = 0;
  };

  lost_worker lost_at(const worker_id& worker, time_point last_claimed) const;
  worker_claim make_claim(const worker_id& worker, worker_link& link, term_number term,
                          time_point now);

  partition_id m_partition;
  instance_id m_self;
  const ownership_options& m_options;
  std::map<worker_id, worker_link> m_links;
};
} // namespace yardhill::ownership
