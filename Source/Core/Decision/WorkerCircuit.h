// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Judges whether a worker fails what it starts, whatever it is.

#include <cstdint>
#include <set>

#include "Common/Ids.h"
#include "Common/Options.h"
#include "Common/Time.h"

namespace yardhill::decision
{
using namespace common;

// Opens after failures in a row of at least two unrelated workloads, or of four times as many of a
// single one (which may itself be broken); then lets one repeatable attempt through at a
// time until one succeeds. The open time doubles with each failed probe.
class worker_circuit
{
public:
  explicit worker_circuit(const scheduling_options& options) : m_options(options) {}

  void succeeded();
  // Returns true when this failure opened the circuit.
  bool failed(const workload_id& workload, time_point now);

  bool closed() const { return m_opened_until == time_point{}; }
  // Whether a repeatable attempt may be tried now, as a probe.
  bool may_probe(time_point now) const { return !m_probing && now >= m_opened_until; }
  void probe_started() { m_probing = true; }
  // The probe never reached the worker, or was stopped: nothing was learned.
  void probe_void() { m_probing = false; }
  time_point opened_until() const { return m_opened_until; }

private:
  void open(time_point now);

  const scheduling_options& m_options;
  std::uint32_t m_failures_in_row = 0;
  std::set<workload_id> m_failed_workloads;
  time_point m_opened_until{};
  duration m_open_time{0};
  bool m_probing = false;
};
} // namespace yardhill::decision
