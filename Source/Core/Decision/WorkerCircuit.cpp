// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Decision/WorkerCircuit.h"

#include <algorithm>

namespace yardhill::decision
{
namespace
{
// A single workload may itself be broken, so its failures alone open the circuit only after this
// many times the usual number.
constexpr std::uint32_t k_single_workload_factor = 4;
constexpr std::size_t k_min_unrelated_workloads = 2;
} // namespace

void worker_circuit::succeeded()
{
  m_consecutive_failures = 0;
  m_failed_workloads.clear();
  m_open_until = time_point{};
  m_open_time = duration{0};
  m_probing = false;
}

bool worker_circuit::failed(const workload_id& workload, time_point now)
{
  ++m_consecutive_failures;
  m_failed_workloads.insert(workload);
  if (!closed())
  {
    open(now);
    return false;
  }
  const bool unrelated = m_failed_workloads.size() >= k_min_unrelated_workloads &&
                         m_consecutive_failures >= m_options.circuit_failures;
  const bool many = m_consecutive_failures >= m_options.circuit_failures * k_single_workload_factor;
  if (!unrelated && !many)
    return false;
  open(now);
  return true;
}

void worker_circuit::open(time_point now)
{
  m_open_time = std::clamp(m_open_time * 2, m_options.circuit_open, m_options.circuit_open_most);
  m_open_until = now + m_open_time;
  m_probing = false;
}
} // namespace yardhill::decision
