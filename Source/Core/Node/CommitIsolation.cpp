// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/CommitIsolation.h"

#include <algorithm>

namespace yardhill::node
{
namespace
{
constexpr unsigned k_refusals_until_given_up = 2;
} // namespace

void commit_isolation::written(std::size_t parts)
{
  m_renewed = true;
  if (parts == 0)
    return;
  m_limit = std::min(m_most_parts, 2 * m_limit);
  m_refused_alone = 0;
}

bool commit_isolation::refused(std::size_t parts)
{
  const bool store_takes_renewals = m_renewed;
  m_renewed = false;
  if (parts != 1)
  {
    m_limit = std::max<std::size_t>(1, std::min(m_limit, parts) / 2);
    m_refused_alone = 0;
    return false;
  }
  m_limit = 1;
  m_refused_alone = store_takes_renewals ? m_refused_alone + 1 : 0;
  if (m_refused_alone < k_refusals_until_given_up)
    return false;
  m_refused_alone = 0;
  return true;
}
} // namespace yardhill::node
