// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Common/Metrics.h"

#include <cmath>
#include <mutex>
#include <sstream>
#include <vector>

#include <boost/histogram.hpp>

#include "Common/EnumNames.h"

namespace yardhill::common
{
namespace
{
constexpr auto k_counter_names = std::to_array<std::string_view>({
    "requests",
    "answers",
    "tasks_accepted",
    "tasks_done",
    "tasks_failed",
    "attempts_started",
    "preemptions",
    "takeovers",
    "handovers",
    "owner_lost",
    "store_reads",
    "store_feeds",
    "store_writes",
    "commits_refused",
    "store_rows_written",
    "store_bytes",
    "peer_messages",
    "peer_bytes",
    "bad_frames",
    "late_answers",
    "worker_calls",
    "circuits_opened",
    "config_changes",
    "entries_invalid",
    "workers_crashed",
    "workers_restarted",
    "tasks_given_up",
    "holds_sent",
    "starts_sent",
    "stops_sent",
    "process_cpu_ms",
    "log_decisions_dropped",
    "log_repeating_dropped",
    "submissions_waited",
    "waited_submissions_stored",
});
static_assert(k_counter_names.size() == static_cast<std::size_t>(counter::count));

constexpr auto k_timing_names = std::to_array<std::string_view>({
    "waiting_interactive",
    "waiting_service",
    "waiting_gang",
    "waiting_batch",
    "decision",
    "store_latency",
});
static_assert(k_timing_names.size() == static_cast<std::size_t>(timing::count));

constexpr auto k_gauge_names = std::to_array<std::string_view>({
    "queued",
    "active",
    "retained",
    "partitions_owned",
    "workers_usable",
    "config_version",
    "pending_requests",
    "loop_late_ms",
    "loop_late_worst_ms",
    "holds_overdue",
    "hold_overdue_ms",
    "workers_silent",
    "ends_kept",
    "tasks_waiting",
    "oldest_wait_ms",
    "lasting_waiting",
    "lasting_wait_ms",
    "worker_speeds_used",
});
static_assert(k_gauge_names.size() == static_cast<std::size_t>(gauge::count));

// Buckets from 1 microsecond to 1 hour on a logarithmic scale, eight per decade.
constexpr int k_buckets = 76;
constexpr double k_lowest_us = 1.0;
constexpr double k_highest_us = 3.6e9;

using log_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using log_histogram = decltype(boost::histogram::make_histogram(log_axis{}));

log_histogram make_log_histogram()
{
  return boost::histogram::make_histogram(log_axis(k_buckets, k_lowest_us, k_highest_us));
}

constexpr double k_us_per_second = 1e6;

void expose_histogram(std::ostream& out, std::string_view name, const log_histogram& histogram,
                      double sum_us)
{
  const std::string family = "yardhill_" + std::string(name) + "_seconds";
  out << "# TYPE " << family << " histogram\n";
  double cumulative = 0;
  // The overflow bucket has no finite bound; the +Inf line below covers it.
  for (const auto& bucket : indexed(histogram, boost::histogram::coverage::all))
  {
    cumulative += *bucket;
    const double bound = bucket.bin(0).upper() / k_us_per_second;
    if (*bucket > 0 && std::isfinite(bound))
      out << family << "_bucket{le=\"" << bound << "\"} " << cumulative << '\n';
  }
  out << family << "_bucket{le=\"+Inf\"} " << cumulative << '\n';
  out << family << "_sum " << sum_us / k_us_per_second << '\n';
  out << family << "_count " << cumulative << '\n';
}
} // namespace

struct metrics::histograms
{
  mutable std::mutex lock;
  std::vector<log_histogram> by_timing;
  std::array<double, static_cast<std::size_t>(timing::count)> sums_us{};
};

metrics::metrics() : m_histograms(std::make_unique<histograms>())
{
  for (std::size_t index = 0; index < static_cast<std::size_t>(timing::count); ++index)
    m_histograms->by_timing.push_back(make_log_histogram());
}

metrics::~metrics() = default;

void metrics::add(counter which, std::uint64_t amount)
{
  m_counters.at(static_cast<std::size_t>(which)).fetch_add(amount, std::memory_order_relaxed);
}

void metrics::add(refusal_reason reason)
{
  m_refusals.at(static_cast<std::size_t>(reason)).fetch_add(1, std::memory_order_relaxed);
}

void metrics::add(retry_reason reason)
{
  m_retries.at(static_cast<std::size_t>(reason)).fetch_add(1, std::memory_order_relaxed);
}

void metrics::set(gauge which, std::uint64_t value)
{
  m_gauges.at(static_cast<std::size_t>(which)).store(value, std::memory_order_relaxed);
}

void metrics::record(timing which, duration value)
{
  const std::lock_guard hold(m_histograms->lock);
  const auto index = static_cast<std::size_t>(which);
  m_histograms->by_timing.at(index)(static_cast<double>(value.count()));
  m_histograms->sums_us.at(index) += static_cast<double>(value.count());
}

std::uint64_t metrics::value(counter which) const
{
  return m_counters.at(static_cast<std::size_t>(which)).load(std::memory_order_relaxed);
}

std::uint64_t metrics::value(gauge which) const
{
  return m_gauges.at(static_cast<std::size_t>(which)).load(std::memory_order_relaxed);
}

std::uint64_t metrics::value(refusal_reason reason) const
{
  return m_refusals.at(static_cast<std::size_t>(reason)).load(std::memory_order_relaxed);
}

std::uint64_t metrics::value(retry_reason reason) const
{
  return m_retries.at(static_cast<std::size_t>(reason)).load(std::memory_order_relaxed);
}

duration metrics::quantile(timing which, double quantile) const
{
  const std::lock_guard hold(m_histograms->lock);
  const log_histogram& histogram = m_histograms->by_timing.at(static_cast<std::size_t>(which));
  const double value_count = boost::histogram::algorithm::sum(histogram);
  double cumulative = 0;
  for (const auto& bucket : indexed(histogram, boost::histogram::coverage::all))
  {
    cumulative += *bucket;
    if (*bucket > 0 && cumulative >= quantile * value_count && std::isfinite(bucket.bin(0).upper()))
      return duration{static_cast<duration::rep>(bucket.bin(0).upper())};
  }
  if (value_count == 0)
    return duration{0};
  return duration{static_cast<duration::rep>(k_highest_us)};
}

metrics::recorded metrics::total(timing which) const
{
  const std::lock_guard hold(m_histograms->lock);
  const auto index = static_cast<std::size_t>(which);
  const double count = boost::histogram::algorithm::sum(m_histograms->by_timing.at(index));
  return {static_cast<std::uint64_t>(count),
          duration{static_cast<duration::rep>(m_histograms->sums_us.at(index))}};
}

std::string metrics::exposition() const
{
  std::ostringstream out;
  for (std::size_t index = 0; index < k_counter_names.size(); ++index)
  {
    out << "# TYPE yardhill_" << k_counter_names.at(index) << "_total counter\n";
    out << "yardhill_" << k_counter_names.at(index) << "_total " << m_counters.at(index) << '\n';
  }
  out << "# TYPE yardhill_refusals_total counter\n";
  for (std::size_t index = 1; index < k_refusal_reasons; ++index)
  {
    out << "yardhill_refusals_total{reason=\"" << to_text(static_cast<refusal_reason>(index))
        << "\"} " << m_refusals.at(index) << '\n';
  }
  out << "# TYPE yardhill_retries_total counter\n";
  for (std::size_t index = 0; index < k_retry_reasons; ++index)
  {
    out << "yardhill_retries_total{reason=\"" << to_text(static_cast<retry_reason>(index)) << "\"} "
        << m_retries.at(index) << '\n';
  }
  for (std::size_t index = 0; index < k_gauge_names.size(); ++index)
  {
    out << "# TYPE yardhill_" << k_gauge_names.at(index) << " gauge\n";
    out << "yardhill_" << k_gauge_names.at(index) << ' ' << m_gauges.at(index) << '\n';
  }
  const std::lock_guard hold(m_histograms->lock);
  for (std::size_t index = 0; index < k_timing_names.size(); ++index)
  {
    expose_histogram(out, k_timing_names.at(index), m_histograms->by_timing.at(index),
                     m_histograms->sums_us.at(index));
  }
  return out.str();
}
} // namespace yardhill::common
