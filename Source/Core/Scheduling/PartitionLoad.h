// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// A partition's demand and capacity, as its owner reports them to other instances.

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "Scheduling/SchedulerState.h"

namespace yardhill::scheduling
{
struct partition_load
{
  // Number of accepted jobs by queue of which no task is known to have begun.
  std::map<std::string, std::uint64_t> pending;
  std::uint64_t open_jobs = 0; // jobs that have not ended
  // Processor capacity in thousandths of a core.
  std::int64_t waiting_cpu = 0;     // requested by waiting tasks
  std::int64_t free_cpu = 0;        // free on usable workers
  std::uint64_t usable_workers = 0; // workers on which tasks may be started
  // Labels of usable workers, without those that are the name of the worker's rack.
  std::set<std::string> labels;

  std::uint64_t queued_jobs() const;
};

partition_load load_of(const scheduler_state& state);
// Estimated wait of a new job until its first start, by priority. Empty unless the owner is
// overloaded, that is, cannot send starts as fast as workers have free capacity for them.
std::map<std::uint32_t, std::chrono::milliseconds> start_waits(const scheduler_state& state,
                                                               time_point now);
} // namespace yardhill::scheduling
