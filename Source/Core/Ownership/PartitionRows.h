// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Keys and contents of a partition's rows in the table service.

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "Common/Ids.h"
#include "Common/StoreMessages.h"
#include "Common/StoredTask.h"

namespace yardhill::ownership
{
using namespace common;

// Contents of the partition's own row, stored as JSON.
struct term_row
{
  term_number term = 0;
  instance_id owner;
  std::string write; // id of the latest write
};

class partition_rows
{
public:
  explicit partition_rows(partition_id partition) : m_partition(std::move(partition)) {}

  // Keys of the partition's own row, and of a task's row while the task is open and after its end.
  std::string own_key() const;
  std::string open_key(const task_id& task) const;
  std::string ended_key(const task_id& task) const;
  // Common prefixes of the keys of all open tasks and of all ended tasks.
  std::string open_prefix() const;
  std::string ended_prefix() const;
  // Key in the object store of a result that is too large for its row.
  std::string result_key(const task_id& task) const;

  row_put own_row(const term_row& row) const;
  // Adds the checks and puts of one task's change to `transaction`. A find adds nothing.
  void add_change(store_transaction& transaction, const record_write& write) const;

private:
  partition_id m_partition;
};

// Returns a default row if there is none yet, and nothing if the row cannot be parsed: a row in a
// foreign format is never overwritten.
std::optional<term_row> parse_term_row(const store_read_result& result);
// Returns 0 if there is no row yet.
std::uint64_t term_row_version(const store_read_result& result);
// Returns nothing if the row cannot be parsed.
std::optional<stored_task> parse_task_row(const store_row& row);
} // namespace yardhill::ownership
