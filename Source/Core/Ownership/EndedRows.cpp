// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Ownership/EndedRows.h"

#include <cstdint>
#include <utility>

namespace yardhill::ownership
{
namespace
{
constexpr std::uint32_t k_page = 500; // keys
} // namespace

void ended_rows::clear()
{
  m_needs_listing = false;
  m_list_after.clear();
  m_kept.clear();
  m_outdated.clear();
}

store_read ended_rows::next_page() const
{
  store_read request{m_rows.ended_prefix(), m_list_after, k_page};
  request.keys_only = true;
  return request;
}

void ended_rows::page_listed(const store_read_result& page, time_point now)
{
  for (const store_row& listed : page.rows)
  {
    keep(listed.key, now);
    m_list_after = listed.key;
  }
  m_needs_listing = page.more;
}

void ended_rows::add(const task_id& task, time_point now)
{
  keep(m_rows.ended_key(task), now);
}

void ended_rows::keep(std::string key, time_point now)
{
  m_kept.push_back({std::move(key), now + m_options.ended_retention});
}

void ended_rows::choose_outdated(time_point now)
{
  m_outdated.clear();
  while (!m_kept.empty() && m_kept.front().until <= now &&
         m_outdated.size() < m_options.max_records_per_transaction)
  {
    m_outdated.push_back(std::move(m_kept.front().key));
    m_kept.pop_front();
  }
}
} // namespace yardhill::ownership
