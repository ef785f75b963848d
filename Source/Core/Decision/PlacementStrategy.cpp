// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Decision/PlacementStrategy.h"

#include <algorithm>

namespace yardhill::decision
{
namespace
{
// Returns the fraction of the worker that stays free in its scarcest dimension.
double scarcest_left(const placement_candidate& candidate)
{
  const resources left = candidate.free_capacity - candidate.demand;
  const auto part = [](std::int64_t free, std::int64_t all)
  { return all > 0 ? static_cast<double>(free) / static_cast<double>(all) : 1.0; };
  return std::min({part(left.cpu_millis, candidate.capacity.cpu_millis),
                   part(left.memory_mib, candidate.capacity.memory_mib),
                   part(left.slots, candidate.capacity.slots)});
}

// Penalizes workers with free accelerators for tasks that need none.
double wasted_accelerators(const placement_candidate& candidate)
{
  const bool wasted =
      candidate.demand.accelerators == 0 && candidate.free_capacity.accelerators > 0;
  return wasted ? 1.0 : 0.0;
}

// Returns the difference between the free fractions of processors and memory. A worker with free
// processors but no free memory is of little use.
double imbalance(const placement_candidate& candidate)
{
  const resources left = candidate.free_capacity - candidate.demand;
  const double cpu = static_cast<double>(left.cpu_millis) /
                     static_cast<double>(std::max<std::int64_t>(1, candidate.capacity.cpu_millis));
  const double memory =
      static_cast<double>(left.memory_mib) /
      static_cast<double>(std::max<std::int64_t>(1, candidate.capacity.memory_mib));
  return cpu > memory ? cpu - memory : memory - cpu;
}

double pack(const placement_candidate& candidate)
{
  return -scarcest_left(candidate) - imbalance(candidate) - wasted_accelerators(candidate);
}

double spread(const placement_candidate& candidate)
{
  constexpr double rack_weight = 100.0;
  constexpr double worker_weight = 10.0;
  return pack(candidate) - rack_weight * candidate.colocated_on_rack -
         worker_weight * candidate.colocated_on_worker;
}

double least_loaded(const placement_candidate& candidate)
{
  return scarcest_left(candidate);
}

double first_fit(const placement_candidate& candidate)
{
  return -static_cast<double>(candidate.position);
}

constexpr placement_strategy k_pack{pack, false};
constexpr placement_strategy k_spread{spread, true};
constexpr placement_strategy k_least_loaded{least_loaded, false};
constexpr placement_strategy k_first_fit{first_fit, false};
} // namespace

const placement_policy k_yardhill_policy{"yardhill", {k_pack, k_spread, k_pack, k_pack}, false};
const placement_policy k_first_fit_policy{
    "first-fit", {k_first_fit, k_first_fit, k_first_fit, k_first_fit}, true};
const placement_policy k_least_loaded_policy{
    "least-loaded", {k_least_loaded, k_least_loaded, k_least_loaded, k_least_loaded}, true};
} // namespace yardhill::decision
