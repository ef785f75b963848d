// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Reads the open tasks that earlier owners of a partition left in the table, page by page.

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Common/StoreMessages.h"
#include "Common/StoredTask.h"
#include "Ownership/PartitionRows.h"

namespace yardhill::ownership
{
using namespace common;

class open_rows
{
public:
  explicit open_rows(partition_rows rows) : m_rows(std::move(rows)) {}

  // Requests that the rows are read, because this instance has just become their owner.
  void begin() { m_needs_load = true; }
  void clear();

  bool needs_load() const { return m_needs_load; }
  // The read of the next page; its result goes to page_read.
  store_read next_page() const;
  // Returns the tasks of all pages once the last page is read, and nothing before. Adds the keys of
  // rows that cannot be parsed to `malformed`.
  std::optional<std::vector<stored_task>> page_read(const store_read_result& page,
                                                    std::vector<std::string>& malformed);

private:
  partition_rows m_rows;
  bool m_needs_load = false;
  std::string m_read_after;
  std::vector<stored_task> m_read;
};
} // namespace yardhill::ownership
