// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/CellLayout.h"

#include <algorithm>

#include "Common/Hash.h"
#include "Node/OwnerRow.h"

namespace yardhill::node
{
namespace
{
constexpr std::uint64_t k_worker_seed = 1;
constexpr std::uint64_t k_job_seed = 2;
} // namespace

cell_layout::cell_layout(std::size_t partitions)
{
  if (partitions <= 1)
  {
    m_names.emplace_back(k_whole_cell);
    return;
  }
  for (std::size_t i = 1; i <= partitions; ++i)
    m_names.push_back(k_whole_cell + std::string("-") + std::to_string(i) + "-of-" +
                      std::to_string(partitions));
}

const std::string& cell_layout::partition_of_worker(const common::endpoint& address) const
{
  return m_names[common::stable_hash(address.address, k_worker_seed) % m_names.size()];
}

jobs::task_share cell_layout::share_of(const std::string& partition) const
{
  const auto found = std::find(m_names.begin(), m_names.end(), partition);
  return {static_cast<std::uint32_t>(found - m_names.begin()),
          static_cast<std::uint32_t>(m_names.size())};
}

std::array<std::string, 2> cell_layout::partitions_of_job(const std::string& job) const
{
  const std::uint64_t hash = common::stable_hash(job, k_job_seed);
  const std::size_t first = hash % m_names.size();
  const std::size_t others = m_names.size() - 1;
  const std::size_t step = others == 0 ? 0 : 1 + hash / m_names.size() % others;
  return {m_names[first], m_names[(first + step) % m_names.size()]};
}
} // namespace yardhill::node
