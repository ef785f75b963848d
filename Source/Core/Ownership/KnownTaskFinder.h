// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Looks up what the table holds of a task: for a caller's query, and for an accept that conflicted
// because its task may have a row already. Reads the ended row, then the open row, then a result
// that is stored apart in the object store. Looks up one task at a time, the oldest request first.

#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "Common/StoreMessages.h"
#include "Common/StoredTask.h"
#include "Ownership/PartitionRows.h"
#include "Ownership/WriteQueue.h"

namespace yardhill::ownership
{
class known_task_finder
{
public:
  explicit known_task_finder(partition_rows rows) : m_rows(std::move(rows)) {}

  // The task of an accept was looked up and has no row: the accept has to be written again.
  struct retry_accept
  {
    pending_write write;
  };
  // What follows from a read row: a read of the next row, a read of the result's object, the result
  // of the lookup, or another attempt to write the accept.
  using outcome = std::variant<store_read, object_get, record_write_result, retry_accept>;

  void enqueue(pending_write request) { m_queue.push_back(std::move(request)); }
  void enqueue(std::deque<pending_write> requests);
  void clear();

  bool idle() const { return m_queue.empty(); }
  bool awaits_object() const { return m_known.has_value() && !m_queue.empty(); }

  // The first read for the oldest request; its result goes to row_read.
  store_read first_read() const;
  // Adds the key of a row that cannot be parsed to `malformed`.
  outcome row_read(const store_read_result& result, std::vector<std::string>& malformed);
  // Takes the object that an object_get requested. Returns the result of the lookup.
  record_write_result object_read(const store_row& object);

  // Called when the table does not answer: removes the callers' queries from the queue and returns
  // an unclear result for each.
  std::vector<record_write_result> fail_queries();

private:
  outcome found(const store_row& row, std::vector<std::string>& malformed);
  outcome not_found();
  record_write_result answer(record_write_status status, std::optional<stored_task> known);
  pending_write take_front();

  partition_rows m_rows;
  std::deque<pending_write> m_queue;
  std::optional<stored_task> m_known; // the task whose result body is being read
};
} // namespace yardhill::ownership
