// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Reports the load of this process as gauges and in the log's `counters` line: the lateness of its
// event loop, the processor time it uses, the requests it sends, and the backlog of an owner.

#include <cstdint>
#include <functional>
#include <optional>

#include "Common/LogBudget.h"
#include "Common/Metrics.h"
#include "Common/Timekeeper.h"
#include "Node/LoopMonitor.h"

namespace yardhill::node
{
class process_report
{
public:
  // A line is written once per k_line_period, and once per k_late_line_period while the loop is
  // late by more than k_late_threshold.
  static constexpr std::chrono::seconds k_line_period{10};
  static constexpr std::chrono::seconds k_late_line_period{1};
  static constexpr std::chrono::milliseconds k_late_threshold{250};

  // `processor_millis`: the processor time the process may use, in thousandths of a core.
  process_report(const common::timekeeper& time, common::metrics& metrics, loop_monitor& loop,
                 std::function<common::duration()> cpu_time, std::uint32_t processor_millis);

  // Called at each tick of the loop. Returns whether a line was written.
  bool tick();

  // The time that the latest line covers: from the line before it up to itself.
  struct interval
  {
    common::duration length{0};
    common::duration cpu{0};
    common::duration worst_lateness{0};
    std::uint64_t passes = 0;
    common::duration pass_time{0};
  };
  const interval& latest() const { return m_latest; }

private:
  bool due(common::time_point now) const;
  void sample_cpu(common::time_point now);
  void sample_log();
  void close_interval(common::time_point now);
  void log() const;

  const common::timekeeper& m_time;
  common::metrics& m_metrics;
  loop_monitor& m_loop;
  std::function<common::duration()> m_cpu_time;
  std::uint32_t m_processor_millis;
  interval m_latest;
  std::optional<common::time_point> m_logged_at;
  std::optional<common::time_point> m_sampled_at;
  common::duration m_cpu{0};        // total at the latest sample
  common::duration m_cpu_logged{0}; // total at the latest line
  common::metrics::recorded m_passes_logged;
  common::dropped_lines m_dropped; // at the latest sample
};
} // namespace yardhill::node
