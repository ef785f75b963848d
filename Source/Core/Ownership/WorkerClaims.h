// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// A partition's standing at its workers: the one call that each may have on its way, which of them
// confirmed the present term and when, and the tickets that they gave for starts.

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
  time_point lapses; // what runs there is over by then
};

// What a start needs to be taken by its worker.
struct start_permit
{
  std::string boot;
  std::uint64_t ticket = 0;
};

class worker_claims
{
public:
  worker_claims(partition_id partition, instance_id self, const ownership_options& options);

  // Returns the claimed workers that are no longer among these: nobody claims them any more.
  std::vector<lost_worker> configure(const std::vector<worker_id>& workers, time_point now);
  std::size_t size() const { return m_links.size(); }
  bool is_majority(std::size_t workers) const { return workers * 2 > m_links.size(); }

  // A new term: no worker has confirmed it.
  void begin_term();
  // Requests that ask about the owner and claim nothing, to each worker without a call on its way.
  std::vector<worker_claim> probes();
  // Claims of `term` to each worker whose turn has come.
  std::vector<worker_claim> due_claims(term_number term, time_point now);
  worker_claim claim_of(const worker_id& worker, term_number term, time_point now);

  // The call to this worker ended, with an answer or without. False if it is none of these.
  bool call_ended(const worker_id& worker);
  void confirmed(const worker_id& worker, const claim_answer& news, time_point sent_at,
                 time_point now);
  void failed(const worker_id& worker, const claim_request& request, time_point now);
  // Notes that a claimed worker does not answer. Nothing if that was known.
  std::optional<lost_worker> lose(const worker_id& worker);

  // The next claim to this worker voids all tickets given out before it.
  void void_tickets(const worker_id& worker);
  void set_acknowledged(const worker_id& worker, std::uint64_t sequence);

  std::size_t claimed() const;
  // Workers that confirmed the term by a claim that was sent then or later.
  std::size_t confirmed_since(time_point earliest) const;
  // Nothing unless this worker was claimed and its ticket is still good.
  std::optional<start_permit> permit_for(const worker_id& worker, time_point now) const;
  // When the next claim is due; k_never if every worker has a call on its way.
  time_point next_due() const;

private:
  struct worker_link
  {
    bool outstanding = false;
    bool claimed = false; // at the present term
    bool lost = false;
    bool void_next = false;
    time_point next_claim{};
    time_point confirmed_sent{}; // when the latest accepted claim was sent
    time_point answered_at{};    // when its answer came
    std::string boot;
    std::uint64_t ticket = 0;
    std::uint64_t settled = 0;
  };

  lost_worker lost_at(const worker_id& worker, time_point last_claimed) const;
  worker_claim send_claim(const worker_id& worker, worker_link& link, term_number term,
                          time_point now);

  partition_id m_partition;
  instance_id m_self;
  const ownership_options& m_options;
  std::map<worker_id, worker_link> m_links;
};
} // namespace yardhill::ownership
