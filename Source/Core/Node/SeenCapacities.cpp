// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/SeenCapacities.h"

#include <algorithm>

#include "Scheduling/WorkerRecord.h"

namespace yardhill::node
{
namespace
{
// A refusal for good must be true: entries lapse while the store is away, so the largest workers
// may not have been seen, and larger ones may come. Beyond twice the largest, none is expected.
constexpr double k_beyond = 2.0;
} // namespace

void seen_capacities::note(const std::string& service, const common::resources& capacity)
{
  std::vector<common::resources>& largest = m_largest[service];
  const bool known =
      std::any_of(largest.begin(), largest.end(),
                  [&capacity](const common::resources& each) { return capacity.fits_in(each); });
  if (known)
    return;
  std::erase_if(largest,
                [&capacity](const common::resources& each) { return each.fits_in(capacity); });
  largest.push_back(capacity);
}

void seen_capacities::note_all(const by_service& largest)
{
  for (const auto& [service, capacities] : largest)
  {
    for (const common::resources& each : capacities)
      note(service, each);
  }
}

std::optional<std::string> seen_capacities::never_fits(const std::string& service,
                                                       const jobs::job_spec& spec) const
{
  const auto seen = m_largest.find(service);
  if (seen == m_largest.end())
    return std::nullopt;
  for (std::size_t step = 0; step < spec.steps.size(); ++step)
  {
    const common::resources room = scheduling::required_resources(spec.steps[step]);
    const bool fits = std::any_of(seen->second.begin(), seen->second.end(),
                                  [&room](const common::resources& each)
                                  { return room.fits_in(common::scaled(each, k_beyond)); });
    if (!fits)
      return "step " + std::to_string(step) +
             ": a task asks for more than twice of what any worker of " + service + " has";
  }
  return std::nullopt;
}
} // namespace yardhill::node
