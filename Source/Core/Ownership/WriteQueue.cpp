// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Ownership/WriteQueue.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace yardhill::ownership
{
namespace
{
// The longest time that a caller waits for the table before its write is reported as failed.
constexpr duration k_write_timeout = std::chrono::seconds{2};

// A larger result goes to the object store, so that rows stay small enough to be read in pages.
constexpr std::size_t k_max_row_body_bytes = 32U << 10U;

// A caller waits for the result of an accept or an intent; nobody waits for that of an end.
bool is_awaited(const record_write& write)
{
  return write.change == record_change::accept || write.change == record_change::intent;
}

bool wait_timed_out(const pending_write& entry, time_point now)
{
  return is_awaited(entry.write) && now >= entry.queued_at + k_write_timeout;
}
} // namespace

record_write_result result_of(const pending_write& entry, record_write_status status)
{
  return {entry.write.change, entry.write.task.spec.id, status, std::nullopt};
}

void write_queue::append(const record_write& write, time_point now)
{
  const duration window =
      is_awaited(write) ? m_options.urgent_commit_delay : m_options.deferred_commit_delay;
  m_due = std::min(m_due, now + window);
  m_pending.push_back({write, now, false});
}

void write_queue::requeue_first(pending_write entry, time_point due)
{
  m_pending.push_front(std::move(entry));
  m_due = due;
}

void write_queue::clear()
{
  m_pending.clear();
  m_batch.clear();
  m_due = k_never;
}

stored_task* write_queue::next_large_result()
{
  for (pending_write& entry : m_batch)
  {
    stored_task& task = entry.write.task;
    if (task.final_answer && task.final_answer->body.size() > k_max_row_body_bytes)
      return &task;
  }
  return nullptr;
}

void write_queue::fill_batch()
{
  m_batch_maybe_written = false;
  while (!m_pending.empty() && m_batch.size() < m_options.max_records_per_transaction)
  {
    m_batch.push_back(std::move(m_pending.front()));
    m_pending.pop_front();
  }
}

void write_queue::batch_sent(time_point next)
{
  m_due = m_pending.empty() ? k_never : next;
}

std::vector<record_write_result> write_queue::batch_written()
{
  std::vector<record_write_result> results;
  for (const pending_write& entry : m_batch)
    results.push_back(result_of(entry, record_write_status::written));
  m_batch.clear();
  return results;
}

std::deque<pending_write> write_queue::requeue_batch_except_accepts(time_point due)
{
  std::deque<pending_write> accepts;
  for (auto entry = m_batch.rbegin(); entry != m_batch.rend(); ++entry)
  {
    if (entry->write.change == record_change::accept)
      accepts.push_front(std::move(*entry));
    else
      m_pending.push_front(std::move(*entry));
  }
  m_batch.clear();
  m_due = due;
  return accepts;
}

std::vector<record_write_result> write_queue::handle_batch_failure(time_point now, time_point due)
{
  std::vector<record_write_result> results;
  if (!m_batch_maybe_written)
  {
    requeue_batch(due);
    return results;
  }
  for (pending_write& entry : m_batch)
  {
    if (entry.unclear_reported || !wait_timed_out(entry, now))
      continue;
    entry.unclear_reported = true;
    results.push_back(result_of(entry, record_write_status::unclear));
  }
  return results;
}

std::vector<record_write_result> write_queue::expire_waiting(time_point now)
{
  std::vector<record_write_result> results;
  std::erase_if(m_pending,
                [&](const pending_write& entry)
                {
                  const bool timed_out = wait_timed_out(entry, now);
                  if (timed_out)
                    results.push_back(result_of(entry, record_write_status::not_written));
                  return timed_out;
                });
  return results;
}

void write_queue::requeue_batch(time_point due)
{
  for (auto entry = m_batch.rbegin(); entry != m_batch.rend(); ++entry)
    m_pending.push_front(std::move(*entry));
  m_batch.clear();
  m_due = due;
}

void write_queue::expedite(time_point due)
{
  if (!m_pending.empty())
    m_due = due;
}
} // namespace yardhill::ownership
