// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Decision/WorkerLedger.h"

#include <algorithm>

namespace yardhill::decision
{
namespace
{
constexpr resources k_nothing_free{-1, -1, -1, -1, -1};

resources bounded_capacity(resources declared)
{
  declared.slots = std::min(declared.slots, k_worker_slots);
  declared.connections = std::min(declared.connections, k_worker_connections);
  return declared;
}
} // namespace

worker_ledger::worker_ledger(const worker_config& config, const scheduling_options& options)
    : m_config(config),
      m_capacity(bounded_capacity(config.capacity)),
      m_free_capacity(k_nothing_free),
      m_circuit(options)
{
}

void worker_ledger::set_config(const worker_config& config)
{
  m_config = config;
  m_capacity = bounded_capacity(config.capacity);
  update_free_capacity();
}

void worker_ledger::set_usable(bool usable, bool leaving, const std::string& boot)
{
  m_usable = usable;
  m_leaving = leaving;
  if (usable)
    m_boot = boot;
  update_free_capacity();
}

void worker_ledger::set_leaving()
{
  m_leaving = true;
  update_free_capacity();
}

void worker_ledger::set_drained(bool drained)
{
  m_drained = drained;
  update_free_capacity();
}

void worker_ledger::set_measured(const resources& used)
{
  m_measured = used;
  update_free_capacity();
}

void worker_ledger::grant(const resources& demand)
{
  m_granted += demand;
  update_free_capacity();
}

void worker_ledger::release(const resources& demand)
{
  m_granted -= demand;
  update_free_capacity();
}

void worker_ledger::refresh(time_point now)
{
  const bool blocked = !m_circuit.closed() && !m_circuit.may_probe(now);
  if (blocked == m_blocked)
    return;
  m_blocked = blocked;
  update_free_capacity();
}

void worker_ledger::update_free_capacity()
{
  if (!placeable() || m_blocked)
  {
    m_free_capacity = k_nothing_free;
    return;
  }
  m_free_capacity = m_capacity - elementwise_max(m_granted, m_measured);
}
} // namespace yardhill::decision
