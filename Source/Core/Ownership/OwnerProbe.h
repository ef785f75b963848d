// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Evaluates what a partition's workers reply when they are asked about the partition's silent
// owner.

#include <cstddef>
#include <map>
#include <vector>

#include "Common/Ids.h"
#include "Common/Time.h"
#include "Common/WorkerMessages.h"

namespace yardhill::ownership
{
using namespace common;

class owner_probe
{
public:
  explicit owner_probe(instance_id self);

  // Discards all replies, before another round of probes or a new term.
  void clear() { m_reported_claims.clear(); }
  void record_reply(const worker_id& worker, const claim_answer& reply);
  // Discards the replies of all workers but these.
  void keep_only(const std::vector<worker_id>& workers);

  std::size_t reply_count() const { return m_reported_claims.size(); }

  struct findings
  {
    // Workers that another owner, of the known term or above, claimed within the allowed age.
    std::size_t living_owner_claims = 0;
    duration youngest_claim_age = duration::max(); // of those claims
    term_number highest_term = 0;                  // of the known term and all reported terms
  };
  // A claim that is at most `max_claim_age` old shows that its owner is alive.
  findings evaluate(term_number known_term, duration max_claim_age) const;

private:
  struct owner_claim
  {
    term_number term = 0;
    instance_id owner;
    duration age{0};
  };

  instance_id m_self;
  std::map<worker_id, owner_claim> m_reported_claims;
};
} // namespace yardhill::ownership
