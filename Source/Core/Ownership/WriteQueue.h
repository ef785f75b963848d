// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Record writes on their way to the table: those that wait for a transaction, and the batch that
// the present transaction holds. Says when the next transaction is due, and who has waited too
// long.

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
  time_point since;
  // Its caller was told that the write may have taken effect; while the task is looked up: its
  // ended row was read, and the open one is next.
  bool told_unclear = false;
};

// What a caller is told of a write without a row to show.
record_write_result result_of(const pending_write& entry, record_write_status status);

class write_queue
{
public:
  explicit write_queue(const ownership_options& options) : m_options(options) {}

  void append(const record_write& write, time_point now);
  // Back to the front of the line, due at `due`.
  void put_first(pending_write entry, time_point due);
  void clear();

  bool idle() const { return m_pending.empty() && m_batch.empty(); }
  bool has_batch() const { return !m_batch.empty(); }
  const std::deque<pending_write>& batch() const { return m_batch; }

  // The batch's first task whose result is too large for its row; null if there is none.
  stored_task* next_large_result();

  // Moves the front of the line into the batch, which has to be empty.
  void fill_batch();
  // The batch's transaction goes out; the next one waits until `next` at least.
  void batch_sent(time_point next);
  // The transaction's answer was lost: it may have taken effect.
  void batch_unclear() { m_batch_maybe_written = true; }
  // The transaction took effect: the results of its records. The batch is empty then.
  std::vector<record_write_result> batch_written();
  // The transaction did not take effect because an accepted task's row stood against it. Returns
  // the accepts; the others go back to the front of the line.
  std::deque<pending_write> dissolve_batch(time_point due);

  // The table does not answer. A batch that was certainly not written goes back to the front of the
  // line, due at `due`; of one that may have been, returns unclear results for those who have
  // waited long enough.
  std::vector<record_write_result> give_up_batch(time_point now, time_point due);
  // Takes writes whose callers have waited long enough out of the line; returns their results.
  std::vector<record_write_result> give_up_waiting(time_point now);

  // Everything that waits is due at `due`.
  void hurry(time_point due);
  bool due(time_point now) const { return has_batch() || now >= m_due; }
  // When the waiting writes are due; k_never if there are none.
  time_point next_due() const { return m_pending.empty() ? k_never : m_due; }

private:
  void put_batch_back(time_point due);

  const ownership_options& m_options;
  std::deque<pending_write> m_pending;
  std::deque<pending_write> m_batch;
  bool m_batch_maybe_written = false;
  time_point m_due = k_never;
};
} // namespace yardhill::ownership
