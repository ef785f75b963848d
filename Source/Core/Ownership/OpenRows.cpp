// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Ownership/OpenRows.h"

#include <cstdint>
#include <utility>

namespace yardhill::ownership
{
namespace
{
constexpr std::uint32_t k_rows_per_page = 500;
} // namespace

void open_rows::clear()
{
  m_needs_load = false;
  m_read_after.clear();
  m_read.clear();
}

store_read open_rows::next_page() const
{
  return {m_rows.open_prefix(), m_read_after, k_rows_per_page};
}

std::optional<std::vector<stored_task>> open_rows::page_read(const store_read_result& page,
                                                             std::vector<std::string>& malformed)
{
  for (const store_row& row : page.rows)
  {
    m_read_after = row.key;
    if (std::optional<stored_task> task = parse_task_row(row))
      m_read.push_back(std::move(*task));
    else
      malformed.push_back(row.key);
  }
  if (page.more)
    return std::nullopt;
  m_needs_load = false;
  m_read_after.clear();
  return std::exchange(m_read, {});
}
} // namespace yardhill::ownership
