// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Decides in which order waiting steps are dispatched, and which of them have to wait for spare
// capacity.
//
// Answers bursts that last longer than jobs can wait: jobs that can no longer earn anything would
// otherwise hold workers for as long again, so that the jobs submitted after the burst would be
// late as well.

#include <cstdint>
#include <optional>
#include <string_view>

#include "Scheduling/JobRecord.h"
#include "Scheduling/RuntimeModel.h"

namespace yardhill::scheduling
{
// How urgent a step is for the capacity of a full cell, the most urgent first.
enum class dispatch_class
{
  regular,
  beyond_share, // its workspace has used up its share
  expired       // the job can no longer earn anything, but still has to end
};

// Long-running and repeating jobs are never expired: they earn for as long as they run.
dispatch_class dispatch_class_of(const job_record& job, job_prospect prospect);

// What the job can still earn if the step starts now. A job counts as in time only if it most
// likely will be: with the earliest objective first, a full cell would otherwise start each job at
// its last moment, and every job that takes longer than estimated would be late.
job_prospect cautious_prospect(const job_record& job, std::uint32_t step,
                               const runtime_model& runtimes, time_point now);

// Sort key of a waiting step; smaller keys are dispatched first. Within a class, jobs that can
// still meet their objective come before late ones, which are worth a small part of their credit;
// then by priority and objective, the earliest first. If late jobs came first, all jobs behind them
// would become late too.
struct dispatch_key
{
  dispatch_class rank = dispatch_class::regular;
  std::uint32_t priority = 0;
  job_prospect prospect = job_prospect::in_time;
  time_point objective;
  std::string_view job;
  std::uint32_t cycle = 0;
  std::uint32_t step = 0;

  auto operator<=>(const dispatch_key&) const = default;
};

dispatch_key dispatch_key_of(const job_record& job, std::uint32_t cycle, std::uint32_t step,
                             job_prospect prospect);

// Whether steps that are not regular may start: only while no regular work has started lately,
// while enough of the cell is free for regular work that arrives meanwhile, or while they use less
// than their guaranteed part of it.
class spare_capacity
{
public:
  // At the beginning of a pass. `used`: by all tasks; `used_by_spare`: by tasks that were started
  // as not regular. Thousandths of a core.
  void begin_pass(std::int64_t total, std::int64_t used, std::int64_t used_by_spare,
                  time_point now);
  bool admits(dispatch_class rank) const;
  // Tasks with this demand were started in the pass.
  void add(dispatch_class rank, std::int64_t cpu_millis);

private:
  std::int64_t m_total = 0;
  std::int64_t m_used = 0;
  std::int64_t m_used_by_spare = 0;
  time_point m_now{};
  std::optional<time_point> m_latest_regular_start;
};
} // namespace yardhill::scheduling
