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

// What the partition's own row says.
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

  // Keys of the partition's own row, of a task's row while it is open and once it has ended.
  std::string own_key() const;
  std::string open_key(const task_id& task) const;
  std::string ended_key(const task_id& task) const;
  // What the keys of all open, or of all ended, tasks start with.
  std::string open_prefix() const;
  std::string ended_prefix() const;
  // Key in the object store of a result that is too large for its row.
  std::string result_key(const task_id& task) const;

  row_put own_row(const term_row& row) const;
  // Adds the checks and rows of one task's change. A find writes nothing.
  void add_change(store_transaction& transaction, const record_write& write) const;

private:
  partition_id m_partition;
};

// The default row where there is none yet; nothing where the row is not one of ours: such a row is
// never written over.
std::optional<term_row> parse_term_row(const store_read_result& result);
// 0 where there is no row yet.
std::uint64_t term_row_version(const store_read_result& result);
// Nothing where the row cannot be read.
std::optional<stored_task> parse_task_row(const store_row& row);
} // namespace yardhill::ownership
