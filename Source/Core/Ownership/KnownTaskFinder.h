// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Looks up what the table holds of a task: for a caller who asks for it, and for an accept that met
// a row of the same task. Reads the ended row, then the open one, then a result that stands apart
// in the object store. One task at a time, the oldest first.

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

  // The task was looked up, there is no row of it, and it was to be accepted: write it again.
  struct accept_again
  {
    pending_write write;
  };
  // What a row that was read leads to.
  using outcome = std::variant<store_read, object_get, record_write_result, accept_again>;

  void ask(pending_write asked) { m_asked.push_back(std::move(asked)); }
  void ask(std::deque<pending_write> asked);
  void clear();

  bool idle() const { return m_asked.empty(); }
  bool awaits_object() const { return m_known.has_value() && !m_asked.empty(); }

  // The read that begins the oldest question; answer with row_read.
  store_read first_read() const;
  // Adds the key of a row that cannot be read to `malformed`.
  outcome row_read(const store_read_result& result, std::vector<std::string>& malformed);
  // The result that an object_get asked for.
  record_write_result object_read(const store_row& object);

  // The table does not answer: takes the callers' questions out; returns their results.
  std::vector<record_write_result> give_up();

private:
  outcome found(const store_row& row, std::vector<std::string>& malformed);
  outcome not_found();
  record_write_result answer(record_write_status status, std::optional<stored_task> known);
  pending_write take_front();

  partition_rows m_rows;
  std::deque<pending_write> m_asked;
  std::optional<stored_task> m_known; // whose body is being read
};
} // namespace yardhill::ownership
