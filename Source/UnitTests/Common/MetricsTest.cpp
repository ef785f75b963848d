// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Counting of refusals and retries by reason, timings and their quantiles, and the text exposition.

#include <set>
#include <string>

#include <boost/test/unit_test.hpp>

#include "Common/Metrics.h"

using namespace yardhill::common;

BOOST_AUTO_TEST_SUITE(metrics_suite)

BOOST_AUTO_TEST_CASE(every_reason_has_its_own_counter)
{
  metrics counts;
  std::set<std::string_view> names;
  for (std::size_t index = 1; index < k_refusal_reasons; ++index)
  {
    const auto reason = static_cast<refusal_reason>(index);
    counts.add(reason);
    names.insert(to_text(reason));
    const std::string line =
        "yardhill_refusals_total{reason=\"" + std::string(to_text(reason)) + "\"} 1\n";
    BOOST_TEST(counts.exposition().find(line) != std::string::npos);
  }
  for (std::size_t index = 0; index < k_retry_reasons; ++index)
  {
    const auto reason = static_cast<retry_reason>(index);
    counts.add(reason);
    const std::string line =
        "yardhill_retries_total{reason=\"" + std::string(to_text(reason)) + "\"} 1\n";
    BOOST_TEST(counts.exposition().find(line) != std::string::npos);
  }
  BOOST_TEST(names.size() == k_refusal_reasons - 1);
}

BOOST_AUTO_TEST_CASE(quantiles_come_from_the_recorded_values)
{
  metrics counts;
  for (int i = 0; i < 99; ++i)
    counts.record(timing::decision, std::chrono::microseconds{100});
  counts.record(timing::decision, std::chrono::milliseconds{10});
  BOOST_TEST(counts.quantile(timing::decision, 0.5) < std::chrono::microseconds{140});
  BOOST_TEST(counts.quantile(timing::decision, 0.5) >= std::chrono::microseconds{100});
  BOOST_TEST(counts.quantile(timing::decision, 1.0) >= std::chrono::milliseconds{10});
}

BOOST_AUTO_TEST_CASE(a_timing_has_the_number_and_sum_of_its_values)
{
  metrics counts;
  BOOST_TEST(counts.total(timing::decision).count == 0U);
  counts.record(timing::decision, std::chrono::microseconds{100});
  counts.record(timing::decision, std::chrono::microseconds{0}); // below the lowest bucket
  counts.record(timing::decision, std::chrono::milliseconds{10});
  BOOST_TEST(counts.total(timing::decision).count == 3U);
  BOOST_TEST((counts.total(timing::decision).sum == std::chrono::microseconds{10100}));
  BOOST_TEST(counts.total(timing::store_latency).count == 0U);
}

BOOST_AUTO_TEST_CASE(gauges_of_an_owners_backlog_are_shown)
{
  metrics counts;
  counts.set(gauge::loop_late_ms, 320);
  counts.set(gauge::hold_overdue_ms, 1500);
  counts.set(gauge::lasting_waiting, 7);
  counts.add(counter::process_cpu_ms, 90);
  const std::string exposition = counts.exposition();
  for (const char* line : {"yardhill_loop_late_ms 320\n", "yardhill_hold_overdue_ms 1500\n",
                           "yardhill_lasting_waiting 7\n", "yardhill_process_cpu_ms_total 90\n"})
    BOOST_TEST(exposition.find(line) != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
