// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Decision/WorkerCircuit.h"

#include <algorithm>

namespace yardhill::decision
{
namespace
{
// One workload alone may itself be broken, so it takes this many times the failures.
constexpr std::uint32_t k_single_workload_factor = 4;
constexpr std::size_t k_unrelated_workloads = 2;
} // namespace

void worker_circuit::succeeded()
{
  m_failures_in_row = 0;
  m_failed_workloads.clear();
  m_opened_until = time_point{};
  m_open_time = duration{0};
  m_probing = false;
}

bool worker_circuit::failed(const workload_id& workload, time_point now)
{
  ++m_failures_in_row;
  m_failed_workloads.insert(workload);
  if (!closed())
  {
    open(now);
    return false;
  }
  const bool unrelated = m_failed_workloads.size() >= k_unrelated_workloads &&
                         m_failures_in_row >= m_options.circuit_failures;
  const bool many = m_failures_in_row >= m_options.circuit_failures * k_single_workload_factor;
  if (!unrelated && !many)
    return false;
  open(now);
  return true;
}

void worker_circuit::open(time_point now)
{
  m_open_time = std::clamp(m_open_time * 2, m_options.circuit_open, m_options.circuit_open_most);
  m_opened_until = now + m_open_time;
  m_probing = false;
}
} // namespace yardhill::decision
