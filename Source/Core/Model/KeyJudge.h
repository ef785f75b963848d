// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Periodically calls every instance of an explored cell with keys that are valid, revoked or
// unknown, and checks which of them it serves.

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "Http/HttpListener.h"
#include "Model/ConnectivityMonitor.h"
#include "Model/ExploredCell.h"

namespace yardhill::model
{
class key_judge
{
public:
  // Checks from now until `end`. The cell has workspaces and must outlive the judge.
  key_judge(explored_cell& cell, time_point end);

  const std::vector<std::string>& violations() const { return m_violations; }
  // Calls with valid keys that were served, and calls with other keys that were refused.
  std::size_t served() const { return m_served; }
  std::size_t refused() const { return m_refused; }

private:
  enum class key_status
  {
    valid,
    revoked,
    unknown
  };

  void call_all();
  void call(explored_instance& which, const std::string& key, key_status status);
  void on_answer(const explored_instance& which, key_status status, unsigned answer);
  std::string one_of(const std::set<std::string>& keys);
  void violate(const std::string& rule, const explored_instance& which, const std::string& message);

  explored_cell& m_cell;
  time_point m_end;
  connectivity_monitor m_connectivity;
  std::vector<std::string> m_violations;
  std::size_t m_served = 0;
  std::size_t m_refused = 0;
  std::size_t m_calls = 0;
};
} // namespace yardhill::model
