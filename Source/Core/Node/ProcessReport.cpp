// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/ProcessReport.h"

#include <utility>

#include "Common/EventLog.h"

namespace yardhill::node
{
namespace
{
constexpr std::chrono::seconds k_sample_period{1};

std::uint64_t milliseconds_of(common::duration time)
{
  return static_cast<std::uint64_t>(common::to_milliseconds(time).count());
}
} // namespace

process_report::process_report(const common::timekeeper& time, common::metrics& metrics,
                               loop_monitor& loop, std::function<common::duration()> cpu_time,
                               std::uint32_t processor_millis)
    : m_time(time),
      m_metrics(metrics),
      m_loop(loop),
      m_cpu_time(std::move(cpu_time)),
      m_processor_millis(processor_millis)
{
}

bool process_report::tick()
{
  const common::time_point now = m_time.now();
  m_metrics.set(common::gauge::loop_late_ms, milliseconds_of(m_loop.lateness()));
  const bool line_due = due(now);
  if (line_due || !m_sampled_at || now - *m_sampled_at >= k_sample_period)
  {
    sample_cpu(now);
    sample_log();
  }
  if (!line_due)
    return false;
  close_interval(now);
  log();
  return true;
}

bool process_report::due(common::time_point now) const
{
  if (!m_logged_at)
    return true;
  const common::duration since = now - *m_logged_at;
  return since >= k_line_period ||
         (since >= k_late_line_period && m_loop.lateness() > k_late_threshold);
}

void process_report::sample_cpu(common::time_point now)
{
  const common::duration used = m_cpu_time();
  // Both totals are truncated before the subtraction, so that no fraction of a millisecond is lost.
  m_metrics.add(common::counter::process_cpu_ms, milliseconds_of(used) - milliseconds_of(m_cpu));
  m_cpu = used;
  m_sampled_at = now;
}

void process_report::sample_log()
{
  const common::dropped_lines dropped = common::dropped_log_lines();
  m_metrics.add(common::counter::log_decisions_dropped, dropped.decisions - m_dropped.decisions);
  m_metrics.add(common::counter::log_repeating_dropped, dropped.repeating - m_dropped.repeating);
  m_dropped = dropped;
}

void process_report::close_interval(common::time_point now)
{
  const common::metrics::recorded passes = m_metrics.total(common::timing::decision);
  m_latest.length = m_logged_at ? now - *m_logged_at : common::duration{0};
  m_latest.cpu = m_cpu - m_cpu_logged;
  m_latest.worst_lateness = m_loop.take_worst();
  m_latest.passes = passes.count - m_passes_logged.count;
  m_latest.pass_time = passes.sum - m_passes_logged.sum;
  m_metrics.set(common::gauge::loop_late_worst_ms, milliseconds_of(m_latest.worst_lateness));
  m_logged_at = now;
  m_cpu_logged = m_cpu;
  m_passes_logged = passes;
}

void process_report::log() const
{
  using common::counter;
  using common::gauge;
  common::log_process("counters", {{"requests", m_metrics.value(counter::requests)},
                                   {"jobs_accepted", m_metrics.value(counter::tasks_accepted)},
                                   {"starts", m_metrics.value(counter::attempts_started)},
                                   {"store_reads", m_metrics.value(counter::store_reads)},
                                   {"store_feeds", m_metrics.value(counter::store_feeds)},
                                   {"store_writes", m_metrics.value(counter::store_writes)},
                                   {"worker_calls", m_metrics.value(counter::worker_calls)},
                                   {"peer_messages", m_metrics.value(counter::peer_messages)},
                                   {"log_lines_dropped", m_dropped.total()},
                                   {"log_decisions_dropped", m_dropped.decisions},
                                   {"log_repeating_dropped", m_dropped.repeating},
                                   {"since_ms", m_latest.length},
                                   {"loop_late_ms", m_loop.latest()},
                                   {"loop_late_worst_ms", m_latest.worst_lateness},
                                   {"cpu_ms", m_latest.cpu},
                                   {"processor_millis", m_processor_millis},
                                   {"owns", m_metrics.value(gauge::partitions_owned)},
                                   {"passes", m_latest.passes},
                                   {"pass_ms", m_latest.pass_time},
                                   {"holds_sent", m_metrics.value(counter::holds_sent)},
                                   {"starts_sent", m_metrics.value(counter::starts_sent)},
                                   {"stops_sent", m_metrics.value(counter::stops_sent)},
                                   {"holds_overdue", m_metrics.value(gauge::holds_overdue)},
                                   {"hold_overdue_ms", m_metrics.value(gauge::hold_overdue_ms)},
                                   {"workers_silent", m_metrics.value(gauge::workers_silent)},
                                   {"ends_kept", m_metrics.value(gauge::ends_kept)},
                                   {"tasks_waiting", m_metrics.value(gauge::tasks_waiting)},
                                   {"oldest_wait_ms", m_metrics.value(gauge::oldest_wait_ms)},
                                   {"lasting_waiting", m_metrics.value(gauge::lasting_waiting)},
                                   {"lasting_wait_ms", m_metrics.value(gauge::lasting_wait_ms)}});
}
} // namespace yardhill::node
