// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Ownership/OwnerProbe.h"

#include <algorithm>
#include <utility>

namespace yardhill::ownership
{
owner_probe::owner_probe(instance_id self) : m_self(std::move(self)) {}

void owner_probe::record_reply(const worker_id& worker, const claim_answer& reply)
{
  m_reported_claims[worker] = {reply.term, reply.owner, reply.owner_age};
}

void owner_probe::keep_only(const std::vector<worker_id>& workers)
{
  std::erase_if(m_reported_claims, [&workers](const auto& entry)
                { return std::ranges::find(workers, entry.first) == workers.end(); });
}

owner_probe::findings owner_probe::evaluate(term_number known_term, duration max_claim_age) const
{
  findings found;
  found.highest_term = known_term;
  for (const auto& [worker, claim] : m_reported_claims)
  {
    found.highest_term = std::max(found.highest_term, claim.term);
    const bool by_other_owner = claim.owner != m_self && claim.term >= known_term && claim.term > 0;
    if (!by_other_owner || claim.age > max_claim_age)
      continue;
    ++found.living_owner_claims;
    found.youngest_claim_age = std::min(found.youngest_claim_age, claim.age);
  }
  return found;
}
} // namespace yardhill::ownership
