// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/KnownCapacities.h"

#include <algorithm>

#include "Scheduling/WorkerRecord.h"

namespace yardhill::node
{
namespace
{
// A permanent refusal must be correct. Worker entries expire while the store is unavailable, so the
// largest workers may be unknown here, and larger workers may be added. None is expected to be
// larger than this multiple of the largest one known.
constexpr double k_refusal_factor = 2.0;
} // namespace

void known_capacities::add(const std::string& service, const common::resources& capacity)
{
  std::vector<common::resources>& largest = m_largest[service];
  const bool covered =
      std::any_of(largest.begin(), largest.end(),
                  [&capacity](const common::resources& each) { return capacity.fits_in(each); });
  if (covered)
    return;
  std::erase_if(largest,
                [&capacity](const common::resources& each) { return each.fits_in(capacity); });
  largest.push_back(capacity);
}

void known_capacities::add_all(const by_service& largest)
{
  for (const auto& [service, capacities] : largest)
  {
    for (const common::resources& each : capacities)
      add(service, each);
  }
}

std::optional<std::string> known_capacities::never_fits(const std::string& service,
                                                        const jobs::job_spec& spec) const
{
  const auto known = m_largest.find(service);
  if (known == m_largest.end())
    return std::nullopt;
  for (std::size_t step = 0; step < spec.steps.size(); ++step)
  {
    const common::resources required = scheduling::required_resources(spec.steps[step]);
    const bool fits = std::any_of(known->second.begin(), known->second.end(),
                                  [&required](const common::resources& each) {
                                    return required.fits_in(common::scaled(each, k_refusal_factor));
                                  });
    if (!fits)
      return "step " + std::to_string(step) +
             ": a task asks for more than twice of what any worker of " + service + " has";
  }
  return std::nullopt;
}
} // namespace yardhill::node
