// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Counters, gauges and histograms of one instance, and their text exposition.
//
// The core records on its own thread and a scrape may read on another, so counters and gauges are
// atomic and histograms are guarded by a lock.

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "Common/Reason.h"
#include "Common/Time.h"

namespace yardhill::common
{
enum class counter
{
  requests,
  answers,
  tasks_accepted,
  tasks_done,
  tasks_failed,
  attempts_started,
  preemptions,
  takeovers,
  handovers,
  owner_lost,
  store_reads,
  store_feeds,
  store_writes,
  commits_refused,
  store_rows_written,
  store_bytes,
  peer_messages,
  peer_bytes,
  bad_frames,
  late_answers,
  worker_calls,
  circuits_opened,
  config_changes,
  entries_invalid,
  workers_crashed,
  workers_restarted,
  tasks_given_up,
  holds_sent,
  starts_sent,
  stops_sent,
  process_cpu_ms,
  log_decisions_dropped,
  log_repeating_dropped,
  submissions_waited,
  waited_submissions_stored,
  count
};

enum class timing
{
  waiting_interactive,
  waiting_service,
  waiting_gang,
  waiting_batch,
  decision,
  store_latency,
  count
};

enum class gauge
{
  queued,
  active,
  retained,
  partitions_owned,
  workers_usable,
  config_version,
  pending_requests,
  loop_late_ms,
  loop_late_worst_ms,
  holds_overdue,
  hold_overdue_ms,
  workers_silent,
  ends_kept,
  tasks_waiting,
  oldest_wait_ms,
  lasting_waiting,
  lasting_wait_ms,
  worker_speeds_used,
  count
};

class metrics
{
public:
  metrics();
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  void add(counter which, std::uint64_t amount = 1);
  void add(refusal_reason reason);
  void add(retry_reason reason);
  void set(gauge which, std::uint64_t value);
  void record(timing which, duration value);

  std::uint64_t value(counter which) const;
  std::uint64_t value(gauge which) const;
  std::uint64_t value(refusal_reason reason) const;
  std::uint64_t value(retry_reason reason) const;
  // The smallest bucket bound that at least the fraction `quantile` (0 to 1) of the recorded values
  // does not exceed; 0 if there are no values.
  duration quantile(timing which, double quantile) const;
  // The number of recorded values and their sum.
  struct recorded
  {
    std::uint64_t count = 0;
    duration sum{0};
  };
  recorded total(timing which) const;

  // The metrics in the Prometheus text format: one family per metric, times in seconds.
  std::string exposition() const;

private:
  struct histograms;

  std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(counter::count)> m_counters{};
  std::array<std::atomic<std::uint64_t>, k_refusal_reasons> m_refusals{};
  std::array<std::atomic<std::uint64_t>, k_retry_reasons> m_retries{};
  std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(gauge::count)> m_gauges{};
  std::unique_ptr<histograms> m_histograms;
};
} // namespace yardhill::common
