// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Plans the jobs of a load and the time at which each is submitted. The plan is drawn at random
// from a seed; the same seed gives the same plan.

#include <cstdint>
#include <string>
#include <vector>

#include "Load/LoadProfile.h"

namespace yardhill::load
{
struct planned_job
{
  std::string id;
  std::size_t kind = 0;  // index into load_profile::kinds
  common::duration at{}; // from the start of the load
  jobs::job_spec spec;
};

struct load_options
{
  common::duration length = std::chrono::seconds{10};
  double rate_share = 1.0; // factor applied to the rates of the load profile
  std::uint64_t seed = 1;
};

// Returns the jobs sorted by time. The jobs of a kind arrive independently of each other.
std::vector<planned_job> plan_load(const load_profile& profile, const load_options& options);
} // namespace yardhill::load
