// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// A load_profile's jobs and workers as the load tool and the demo play them: JSON with comments,
// checked whole. docs/SETTINGS.md explains every field.

#include <optional>
#include <string>
#include <vector>

#include "Common/Problem.h"
#include "Jobs/JobSpec.h"
#include "platform/CallerClient.h"

namespace yardhill::load
{
// A step that only some jobs of its kind have.
struct load_profile_step
{
  jobs::step_spec spec;
  double share = 1.0; // of the jobs; only the last steps may be missing
};

struct job_kind
{
  std::string name;
  adapter::queue_address queue;
  jobs::queue_policy policy;
  double per_second = 0.0;
  std::vector<load_profile_step> steps;
  // Objective: from the hand-in to the end, beyond the longest chain of estimated work.
  common::duration deadline{};

  bool lasts() const;
};

struct load_profile
{
  std::string service;
  std::vector<std::string> zones;
  std::uint32_t workers = 0;
  common::resources worker_capacity;
  std::vector<job_kind> kinds;
};

// Notes every mistake; none if there is any.
std::optional<load_profile> parse_load_profile(const std::string& text, const std::string& file,
                                               common::problem_list& problems);
} // namespace yardhill::load
