// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Ownership/OwnerProbe.h"

#include <algorithm>
#include <utility>

namespace yardhill::ownership
{
owner_probe::owner_probe(instance_id self) : m_self(std::move(self)) {}

void owner_probe::answered(const worker_id& worker, const claim_answer& news)
{
  m_said[worker] = {news.term, news.owner, news.owner_age};
}

void owner_probe::keep_only(const std::vector<worker_id>& workers)
{
  std::erase_if(m_said, [&workers](const auto& entry)
                { return std::ranges::find(workers, entry.first) == workers.end(); });
}

owner_probe::findings owner_probe::evaluate(term_number known_term, duration most_age) const
{
  findings found;
  found.highest = known_term;
  for (const auto& [worker, claim] : m_said)
  {
    found.highest = std::max(found.highest, claim.term);
    const bool another = claim.owner != m_self && claim.term >= known_term && claim.term > 0;
    if (!another || claim.age > most_age)
      continue;
    ++found.alive;
    found.youngest = std::min(found.youngest, claim.age);
  }
  return found;
}
} // namespace yardhill::ownership
