// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Periodically queries every connected instance of an explored cell for the number of waiting jobs
// of each queue, and compares the answers with the observations of callers and workers: a count
// must include at least half of the jobs that were accepted a while ago and have not started.

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
  // Checks from now until `end`. The cell must outlive the judge.
  count_judge(explored_cell& cell, time_point end);

  const std::vector<std::string>& violations() const { return m_violations; }
  // Answers of connected instances that contained a number, and those that did not.
  std::size_t counted() const { return m_counted; }
  std::size_t unknown() const { return m_unknown; }

private:
  void query_all();
  void ask(explored_instance& which, const std::string& prefix);
  void on_answer(const explored_instance& which, const std::string& prefix, std::uint64_t waiting,
                 const http::outgoing_reply& answer);
  // Checks that an instance that answers uses at least the configuration version `due`, which must
  // be in force.
  void check_configuration(const explored_instance& which, std::uint64_t due);
  std::string now_text() const;

  explored_cell& m_cell;
  time_point m_end;
  connectivity_monitor m_connectivity;
  std::vector<std::string> m_violations;
  std::size_t m_counted = 0;
  std::size_t m_unknown = 0;
};
} // namespace yardhill::model
