// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Load/LoadPlan.h"

#include <algorithm>
#include <cstdio>
#include <random>

namespace yardhill::load
{
namespace
{
using seconds = std::chrono::duration<double>;

std::string new_id(std::mt19937_64& random)
{
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

jobs::job_spec draw_spec(const job_kind& kind, std::mt19937_64& random)
{
  std::uniform_real_distribution<double> unit_distribution(0.0, 1.0);
  jobs::job_spec spec;
  spec.payload = kind.name;
  for (const load_profile_step& step : kind.steps)
  {
    if (step.share < 1.0 && unit_distribution(random) >= step.share)
      break;
    spec.steps.push_back(step.spec);
  }
  return spec;
}
} // namespace

std::vector<planned_job> plan_load(const load_profile& profile, const load_options& options)
{
  std::mt19937_64 random(options.seed);
  std::vector<planned_job> plan;
  for (std::size_t kind = 0; kind < profile.kinds.size(); ++kind)
  {
    const double rate = profile.kinds[kind].per_second * options.rate_share;
    if (rate <= 0.0)
      continue;
    std::exponential_distribution<double> gap(rate);
    for (seconds at{gap(random)}; at < options.length; at += seconds{gap(random)})
    {
      plan.push_back({new_id(random), kind, std::chrono::duration_cast<common::duration>(at),
                      draw_spec(profile.kinds[kind], random)});
    }
  }
  std::stable_sort(plan.begin(), plan.end(),
                   [](const planned_job& one, const planned_job& other)
                   { return one.at < other.at; });
  return plan;
}
} // namespace yardhill::load
