// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The capacity that the owner of a partition has granted on one worker.

#include <string>

#include "Common/CellConfig.h"
#include "Common/Resources.h"
#include "Decision/WorkerCircuit.h"

namespace yardhill::decision
{
using namespace common;

class worker_ledger
{
public:
  worker_ledger(const worker_config& config, const scheduling_options& options);

  const worker_id& id() const { return m_config.id; }
  const rack_id& rack() const { return m_config.rack; }
  const std::string& boot() const { return m_boot; }
  const resources& capacity() const { return m_capacity; }
  const resources& granted() const { return m_granted; }
  // Returns the free capacity for new grants; negative in every dimension while the worker accepts
  // no grants.
  const resources& room() const { return m_free_capacity; }
  bool usable() const { return m_usable; } // the worker answers
  bool placeable() const { return m_usable && !m_leaving && !m_drained; }
  bool leaving() const { return m_leaving; }
  worker_circuit& circuit() { return m_circuit; }
  const worker_circuit& circuit() const { return m_circuit; }

  void set_config(const worker_config& config);
  void set_usable(bool usable, bool leaving, const std::string& boot);
  void set_leaving();
  // Set by an operator, in force until the operator ends it.
  void set_drained(bool drained);
  // Measured use lags behind, so it may only reduce the free capacity, never increase it.
  void set_measured(const resources& used);
  void grant(const resources& demand);
  void release(const resources& demand);
  // Updates room() by the circuit's state. Call refresh() when time passes or the circuit changes.
  void refresh(time_point now);

private:
  void update_free_capacity();

  worker_config m_config;
  resources m_capacity;
  resources m_granted;
  resources m_measured;
  resources m_free_capacity;
  std::string m_boot;
  bool m_usable = false;
  bool m_leaving = false;
  bool m_drained = false;
  bool m_blocked = false; // by its circuit
  worker_circuit m_circuit;
};
} // namespace yardhill::decision
