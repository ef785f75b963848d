// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Circuit breaker of a worker: detects a worker that fails attempts regardless of their workload.

#include <cstdint>
#include <set>

#include "Common/Ids.h"
#include "Common/Options.h"
#include "Common/Time.h"

namespace yardhill::decision
{
using namespace common;

// The circuit opens after `circuit_failures` consecutive failures of at least two different
// workloads, or after four times as many of a single workload, which may itself be broken. When the
// open time has passed, one repeatable attempt at a time is admitted as a probe until one succeeds.
// The open time doubles with each failed probe, up to `circuit_open_most`.
class worker_circuit
{
public:
  explicit worker_circuit(const scheduling_options& options) : m_options(options) {}

  void succeeded();
  // Returns true when this failure opened the circuit.
  bool failed(const workload_id& workload, time_point now);

  bool closed() const { return m_open_until == time_point{}; }
  // Whether a repeatable attempt may be tried now, as a probe.
  bool may_probe(time_point now) const { return !m_probing && now >= m_open_until; }
  void probe_started() { m_probing = true; }
  // The probe never reached the worker, or was stopped, so it says nothing about the worker.
  void probe_inconclusive() { m_probing = false; }
  time_point open_until() const { return m_open_until; }

private:
  void open(time_point now);

  const scheduling_options& m_options;
  std::uint32_t m_consecutive_failures = 0;
  std::set<workload_id> m_failed_workloads;
  time_point m_open_until{};
  duration m_open_time{0};
  bool m_probing = false;
};
} // namespace yardhill::decision
