// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Record writes that are not yet confirmed by the table: those that wait for a transaction, and the
// batch in the current transaction. Determines when the next transaction is due and which writes
// have timed out.

#include <deque>
#include <vector>

#include "Common/Options.h"
#include "Common/StoredTask.h"
#include "Common/Time.h"

namespace yardhill::ownership
{
using namespace common;

struct pending_write
{
  record_write write;
  time_point queued_at;
  // The caller got an unclear result: the write may have taken effect. While a known_task_finder
  // looks the task up, the flag means instead that the ended row was read and the open row is next.
  bool unclear_reported = false;
};

// The result of a write without the stored task.
record_write_result result_of(const pending_write& entry, record_write_status status);

class write_queue
{
public:
  explicit write_queue(const ownership_options& options) : m_options(options) {}

  void append(const record_write& write, time_point now);
  // Puts a write back at the front of the queue, due at `due`.
  void requeue_first(pending_write entry, time_point due);
  void clear();

  bool idle() const { return m_pending.empty() && m_batch.empty(); }
  bool has_batch() const { return !m_batch.empty(); }
  const std::deque<pending_write>& batch() const { return m_batch; }

  // The batch's first task whose result is too large for its row; null if there is none.
  stored_task* next_large_result();

  // Moves writes from the front of the queue to the batch, which has to be empty.
  void fill_batch();
  // The batch's transaction is sent; the writes still queued are due at `next`.
  void batch_sent(time_point next);
  // The reply to the transaction was lost: the transaction may have taken effect.
  void batch_unclear() { m_batch_maybe_written = true; }
  // The transaction took effect. Empties the batch and returns the results of its records.
  std::vector<record_write_result> batch_written();
  // The transaction did not take effect because a task to be accepted has a row already. Empties
  // the batch: returns the accepts and puts the other writes back at the front of the queue.
  std::deque<pending_write> requeue_batch_except_accepts(time_point due);

  // Called when the table does not answer. Puts a batch that was certainly not written back at the
  // front of the queue, due at `due`. If the batch may have been written, returns unclear results
  // for the writes whose callers have timed out.
  std::vector<record_write_result> handle_batch_failure(time_point now, time_point due);
  // Removes writes whose callers have timed out from the queue and returns their results.
  std::vector<record_write_result> expire_waiting(time_point now);

  // Makes all queued writes due at `due`.
  void expedite(time_point due);
  bool due(time_point now) const { return has_batch() || now >= m_due; }
  // When the queued writes are due; k_never if there are none.
  time_point next_due() const { return m_pending.empty() ? k_never : m_due; }

private:
  void requeue_batch(time_point due);

  const ownership_options& m_options;
  std::deque<pending_write> m_pending;
  std::deque<pending_write> m_batch;
  bool m_batch_maybe_written = false;
  time_point m_due = k_never;
};
} // namespace yardhill::ownership
