// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The load profile of a service for the load tool and the demo: its kinds of jobs and its workers,
// read from a "yard" file (JSON with comments). The whole file is checked. docs/SETTINGS.md
// explains every field.

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
  // Share of the jobs that have this step. A job without the step has none of the later steps
  // either.
  double share = 1.0;
};

struct job_kind
{
  std::string name;
  adapter::queue_address queue;
  jobs::queue_policy policy;
  double per_second = 0.0;
  std::vector<load_profile_step> steps;
  // Objective for the time from submission to the end of a job, in addition to the longest chain of
  // estimated work.
  common::duration deadline{};

  bool is_long_running() const;
};

struct load_profile
{
  std::string service;
  std::vector<std::string> zones;
  std::uint32_t workers = 0;
  common::resources worker_capacity;
  std::vector<job_kind> kinds;
};

// Adds every mistake in the file to `problems`. Returns nullopt if there is any.
std::optional<load_profile> parse_load_profile(const std::string& text, const std::string& file,
                                               common::problem_list& problems);
} // namespace yardhill::load
