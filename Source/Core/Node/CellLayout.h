// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Divides a cell's workers and jobs among partitions, each of which has an owner.
//
// Everything follows from ids, addresses and the number of partitions, so that all instances agree
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
  // The partition of the worker at that address. It stays the same over all incarnations of the
  // worker on that machine, and a worker accepts calls at no other address, so no two owners send
  // requests to one worker.
  const std::string& partition_of_worker(const common::endpoint& address) const;
  // The partition's share of the tasks of a job that all partitions run.
  jobs::task_share share_of(const std::string& partition) const;
  // The partition where the job usually runs, and another one for when that partition is busy or
  // has no owner.
  std::array<std::string, 2> partitions_of_job(const std::string& job) const;

private:
  std::vector<std::string> m_names;
};
} // namespace yardhill::node
