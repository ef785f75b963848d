// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Ownership/EndedRows.h"

#include <cstdint>
#include <utility>

namespace yardhill::ownership
{
namespace
{
constexpr std::uint32_t k_keys_per_page = 500;
} // namespace

void ended_rows::clear()
{
  m_needs_listing = false;
  m_list_after.clear();
  m_retained.clear();
  m_expired_keys.clear();
}

store_read ended_rows::next_page() const
{
  store_read request{m_rows.ended_prefix(), m_list_after, k_keys_per_page};
  request.keys_only = true;
  return request;
}

void ended_rows::page_listed(const store_read_result& page, time_point now)
{
  for (const store_row& listed : page.rows)
  {
    retain(listed.key, now);
    m_list_after = listed.key;
  }
  m_needs_listing = page.more;
}

void ended_rows::add(const task_id& task, time_point now)
{
  retain(m_rows.ended_key(task), now);
}

void ended_rows::retain(std::string key, time_point now)
{
  m_retained.push_back({std::move(key), now + m_options.ended_retention});
}

void ended_rows::select_expired(time_point now)
{
  m_expired_keys.clear();
  while (!m_retained.empty() && m_retained.front().expires <= now &&
         m_expired_keys.size() < m_options.max_records_per_transaction)
  {
    m_expired_keys.push_back(std::move(m_retained.front().key));
    m_retained.pop_front();
  }
}
} // namespace yardhill::ownership
