// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// What a partition's workers said of its silent owner when they were asked.

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

  // Forgets what was said, for another round or a new term.
  void clear() { m_said.clear(); }
  void answered(const worker_id& worker, const claim_answer& news);
  // Forgets all but these workers.
  void keep_only(const std::vector<worker_id>& workers);

  std::size_t answers() const { return m_said.size(); }

  struct findings
  {
    std::size_t alive = 0; // workers that another owner, of the known term or above, claimed lately
    duration youngest = duration::max(); // age of the latest such claim
    term_number highest = 0;             // of all terms, the known one among them
  };
  // Claims up to `most_age` old speak for a living owner.
  findings evaluate(term_number known_term, duration most_age) const;

private:
  struct owner_claim
  {
    term_number term = 0;
    instance_id owner;
    duration age{0};
  };

  instance_id m_self;
  std::map<worker_id, owner_claim> m_said;
};
} // namespace yardhill::ownership
