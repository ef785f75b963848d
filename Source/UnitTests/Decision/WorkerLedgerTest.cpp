// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Tests a worker's free capacity, which follows from grants and from measured use. Measured use may
// only reduce it.

#include <boost/test/unit_test.hpp>

#include "Decision/WorkerLedger.h"

using namespace yardhill::decision;

namespace
{
worker_config sample_worker()
{
  worker_config worker;
  worker.id = worker_id{"w"};
  worker.capacity = {16000, 32768, 0, 20, 100};
  return worker;
}

const resources k_task{2000, 4096, 0, 1, 1};
} // namespace

BOOST_AUTO_TEST_SUITE(worker_ledger_suite)

BOOST_AUTO_TEST_CASE(slots_and_connections_are_bounded_whatever_is_declared)
{
  const scheduling_options options;
  worker_ledger ledger(sample_worker(), options);
  ledger.set_usable(true, false, "boot");
  BOOST_TEST(ledger.room().slots == 8);
  BOOST_TEST(ledger.room().connections == 64);
}

BOOST_AUTO_TEST_CASE(measured_use_only_reduces_free_capacity)
{
  const scheduling_options options;
  worker_ledger ledger(sample_worker(), options);
  ledger.set_usable(true, false, "boot");
  ledger.grant(k_task);
  ledger.set_measured({});
  BOOST_TEST(ledger.room().memory_mib == 32768 - 4096);
  ledger.set_measured({1000, 20000, 0, 0, 0});
  BOOST_TEST(ledger.room().memory_mib == 32768 - 20000);
  BOOST_TEST(ledger.room().cpu_millis == 14000);
  ledger.release(k_task);
  ledger.set_measured({});
  BOOST_TEST(ledger.room().memory_mib == 32768);
}

BOOST_AUTO_TEST_CASE(a_drained_or_leaving_or_suspect_worker_has_no_free_capacity)
{
  const scheduling_options options;
  const time_point now{std::chrono::seconds{1}};
  worker_ledger ledger(sample_worker(), options);
  ledger.set_usable(true, true, "boot");
  BOOST_TEST(ledger.room().slots < 0);
  ledger.set_usable(true, false, "boot");
  ledger.set_drained(true);
  BOOST_TEST(ledger.room().slots < 0);
  ledger.set_drained(false);
  for (const char* workload : {"a", "b", "a"})
    ledger.circuit().failed(workload_id{workload}, now);
  ledger.refresh(now);
  BOOST_TEST(ledger.room().slots < 0);
  ledger.refresh(now + options.circuit_open);
  BOOST_TEST(ledger.room().slots == 8); // the worker admits a probe
  ledger.circuit().succeeded();
  ledger.refresh(now);
  BOOST_TEST(ledger.room().slots == 8);
}

BOOST_AUTO_TEST_SUITE_END()
