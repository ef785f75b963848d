// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Which jobs a load consists of, and when each is handed in: drawn from a seed, the same each time.

#include <cstdint>
#include <string>
#include <vector>

#include "Load/LoadProfile.h"

namespace yardhill::load
{
struct planned_job
{
  std::string id;
  std::size_t kind = 0;  // number in the load_profile
  common::duration at{}; // from the begin of the load
  jobs::job_spec spec;
};

struct load_options
{
  common::duration length = std::chrono::seconds{10};
  double rate_share = 1.0; // of the load_profile's jobs a second
  std::uint64_t seed = 1;
};

// In the order of their times; the jobs of a kind arrive independently of each other.
std::vector<planned_job> plan_load(const load_profile& of, const load_options& options);
} // namespace yardhill::load
