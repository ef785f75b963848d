// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Asks every instance of an explored cell again and again how many jobs of each queue wait, and
// holds the answers of those in touch to what callers and workers have seen: of the jobs that were
// accepted a while ago and have not begun, no count may leave out more than half.

#include <cstdint>
#include <string>
#include <vector>

#include "Http/HttpListener.h"
#include "Model/ConnectivityMonitor.h"
#include "Model/ExploredCell.h"

namespace yardhill::model
{
class count_judge
{
public:
  // From now on until `end`; the cell outlives it.
  count_judge(explored_cell& cell, time_point end);

  const std::vector<std::string>& violations() const { return m_violations; }
  // Answers of instances in touch that said a number, and those that did not.
  std::size_t counted() const { return m_counted; }
  std::size_t unknown() const { return m_unknown; }

private:
  void ask_all();
  void ask(explored_instance& which, const std::string& prefix);
  void on_answer(const explored_instance& which, const std::string& prefix, std::uint64_t waiting,
                 const http::outgoing_answer& answer);
  // Whoever serves does it by a configuration that is in force.
  void check_configuration(const explored_instance& which, std::uint64_t due);
  std::string now_text() const;

  explored_cell& m_cell;
  time_point m_end;
  connectivity_monitor m_contacts;
  std::vector<std::string> m_violations;
  std::size_t m_counted = 0;
  std::size_t m_unknown = 0;
};
} // namespace yardhill::model
