// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Ownership/KnownTaskFinder.h"

#include <algorithm>
#include <utility>

namespace yardhill::ownership
{
void known_task_finder::enqueue(std::deque<pending_write> requests)
{
  for (pending_write& each : requests)
    enqueue(std::move(each));
}

void known_task_finder::clear()
{
  m_queue.clear();
  m_known.reset();
}

store_read known_task_finder::first_read() const
{
  return {m_rows.ended_key(m_queue.front().write.task.spec.id), {}, 1};
}

known_task_finder::outcome known_task_finder::row_read(const store_read_result& result,
                                                       std::vector<std::string>& malformed)
{
  const task_id& id = m_queue.front().write.task.spec.id;
  // A read by prefix may return the row of another task whose id begins with this task's id.
  const auto same = std::ranges::find_if(
      result.rows, [&](const store_row& row)
      { return row.key == m_rows.ended_key(id) || row.key == m_rows.open_key(id); });
  if (same != result.rows.end())
    return found(*same, malformed);
  return not_found();
}

known_task_finder::outcome known_task_finder::found(const store_row& row,
                                                    std::vector<std::string>& malformed)
{
  std::optional<stored_task> known = parse_task_row(row);
  if (!known)
    malformed.push_back(row.key);
  if (known && !known->body_object.empty())
  {
    m_known = std::move(known);
    return object_get{m_known->body_object};
  }
  return answer(record_write_status::exists, std::move(known));
}

known_task_finder::outcome known_task_finder::not_found()
{
  pending_write& request = m_queue.front();
  if (!request.unclear_reported)
  {
    // During a lookup this flag means that the ended row was read. The open row is read next.
    request.unclear_reported = true;
    return store_read{m_rows.open_key(request.write.task.spec.id), {}, 1};
  }
  if (request.write.change == record_change::find)
    return answer(record_write_status::not_written, std::nullopt);
  request.unclear_reported = false;
  return retry_accept{take_front()};
}

record_write_result known_task_finder::object_read(const store_row& object)
{
  m_known->final_answer->body = object.value;
  m_known->body_object.clear();
  return answer(record_write_status::exists, std::exchange(m_known, std::nullopt));
}

std::vector<record_write_result> known_task_finder::fail_queries()
{
  std::vector<record_write_result> results;
  std::erase_if(m_queue,
                [&](const pending_write& entry)
                {
                  const bool is_query = entry.write.change == record_change::find;
                  if (is_query)
                    results.push_back(result_of(entry, record_write_status::unclear));
                  return is_query;
                });
  return results;
}

record_write_result known_task_finder::answer(record_write_status status,
                                              std::optional<stored_task> known)
{
  record_write_result result = result_of(take_front(), status);
  result.known = std::move(known);
  return result;
}

pending_write known_task_finder::take_front()
{
  pending_write front = std::move(m_queue.front());
  m_queue.pop_front();
  return front;
}
} // namespace yardhill::ownership
