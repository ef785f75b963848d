// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/GangPlan.h"

#include <algorithm>
#include <tuple>

namespace yardhill::scheduling
{
namespace
{
struct opening
{
  common::time_point at;
  const gang_candidate* candidate = nullptr;
};
} // namespace

// With the same openings, the plan is the same in each pass: a plan that moved to other workers
// would waste the tickets that were requested for it.
std::optional<gang_plan> plan_gang(const std::vector<gang_candidate>& candidates,
                                   std::uint32_t members)
{
  std::vector<opening> openings;
  for (const gang_candidate& candidate : candidates)
  {
    for (const common::time_point at : candidate.openings)
      openings.push_back({at, &candidate});
  }
  if (members == 0 || openings.size() < members)
    return std::nullopt;
  std::sort(openings.begin(), openings.end(),
            [](const opening& left, const opening& right)
            {
              return std::tie(left.at, left.candidate->worker) <
                     std::tie(right.at, right.candidate->worker);
            });
  gang_plan plan;
  plan.start_at = openings[members - 1].at;
  for (std::uint32_t i = 0; i < members; ++i)
    ++plan.members[openings[i].candidate->worker];
  return plan;
}
} // namespace yardhill::scheduling
