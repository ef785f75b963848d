// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// How a cell's workers and jobs are divided among partitions, each of which has an owner.
//
// Everything follows from ids and from the number of partitions, so that all instances agree
// without asking each other.

#include <array>
#include <cstddef>
#include <string>
#include <vector>

#include "Common/InstanceSettings.h"
#include "Jobs/JobSpec.h"

namespace yardhill::node
{
class cell_layout
{
public:
  explicit cell_layout(std::size_t partitions);

  std::size_t size() const { return m_names.size(); }
  const std::vector<std::string>& names() const { return m_names; }
  // The partition of the worker at that address. It stays with the machine over its workers' lives,
  // and a worker obeys calls at no other address, so no two owners order one about.
  const std::string& partition_of_worker(const common::endpoint& address) const;
  // The partition's part of the tasks of jobs that all partitions run.
  jobs::task_share share_of(const std::string& partition) const;
  // Where a job usually runs, and where else if that partition is busy or has no owner.
  std::array<std::string, 2> partitions_of_job(const std::string& job) const;

private:
  std::vector<std::string> m_names;
};
} // namespace yardhill::node
