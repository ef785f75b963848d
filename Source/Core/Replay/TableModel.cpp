// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Replay/TableModel.h"

#include <algorithm>

namespace yardhill::replay
{
bool table_model::token_bucket::take(double per_second, time_point now)
{
  if (!started)
  {
    started = true;
    tokens = per_second;
    refilled_at = now;
  }
  const double seconds = std::chrono::duration<double>(now - refilled_at).count();
  tokens = std::min(per_second, tokens + seconds * per_second);
  refilled_at = now;
  if (tokens < 1.0)
    return false;
  tokens -= 1.0;
  return true;
}

store_read_result table_model::read(const store_read& request, time_point now)
{
  store_read_result result;
  if (!m_reads.take(m_limits.reads_per_second, now))
  {
    ++m_load.limited;
    result.status = store_status::limited;
    return result;
  }
  ++m_load.reads;
  result.status = store_status::ok;
  auto row = request.after.empty() ? m_rows.lower_bound(request.prefix)
                                   : m_rows.upper_bound(request.after);
  for (; row != m_rows.end() && row->first.starts_with(request.prefix); ++row)
  {
    if (result.rows.size() == request.limit)
    {
      result.more = true;
      break;
    }
    result.rows.push_back(row->second);
    if (request.keys_only)
      result.rows.back().value.clear();
  }
  return result;
}

store_write_result table_model::put(const object_put& request)
{
  m_objects[request.key] = request.bytes;
  return {store_status::ok, 0};
}

store_read_result table_model::get(const object_get& request) const
{
  store_read_result result{store_status::ok, {}, false};
  const auto object = m_objects.find(request.key);
  if (object != m_objects.end())
    result.rows.push_back({request.key, 1, object->second});
  return result;
}

store_write_result table_model::write(const store_transaction& request, time_point now)
{
  if (!m_writes.take(m_limits.writes_per_second, now))
  {
    ++m_load.limited;
    return {store_status::limited, 0};
  }
  for (const row_check& check : request.checks)
  {
    const auto row = m_rows.find(check.key);
    const std::uint64_t version = row == m_rows.end() ? 0 : row->second.version;
    if (version == check.version)
      continue;
    ++m_load.conflicts;
    return {store_status::conflict, 0};
  }
  ++m_version;
  ++m_load.writes;
  m_load.rows += request.puts.size();
  for (const row_put& put : request.puts)
  {
    if (put.value)
      m_rows[put.key] = {put.key, m_version, *put.value};
    else
      m_rows.erase(put.key);
  }
  return {store_status::ok, m_version};
}
} // namespace yardhill::replay
