// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// How much a partition has to do and what it has for it, as its owner tells others.

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "Scheduling/SchedulerState.h"

namespace yardhill::scheduling
{
struct partition_load
{
  // Accepted jobs none of whose tasks has begun, by queue.
  std::map<std::string, std::uint64_t> pending;
  std::uint64_t open_jobs = 0; // that have not ended
  // Processor time, in thousandths of a core, that waiting tasks ask for, and what workers have.
  std::int64_t waiting_cpu = 0;
  std::int64_t free_cpu = 0;
  std::uint64_t usable_workers = 0; // on which tasks may be started
  // That workers have, but for the names of their racks.
  std::set<std::string> labels;

  std::uint64_t queued_jobs() const;
};

partition_load load_of(const scheduler_state& state);
// By priority, how long a new job would wait for its first start; empty unless the owner cannot
// send starts as fast as workers have room for them.
std::map<std::uint32_t, std::chrono::milliseconds> start_waits(const scheduler_state& state,
                                                               time_point now);
} // namespace yardhill::scheduling
