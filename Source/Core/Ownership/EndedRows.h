// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// When a partition's rows of ended tasks are deleted. The table has no clock of its own: the
// owner lists what ended under earlier owners, and counts the retention of those rows from then.

#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "Common/Ids.h"
#include "Common/Options.h"
#include "Common/StoreMessages.h"
#include "Common/Time.h"
#include "Ownership/PartitionRows.h"

namespace yardhill::ownership
{
using namespace common;

class ended_rows
{
public:
  ended_rows(partition_rows rows, const ownership_options& options)
      : m_rows(std::move(rows)), m_options(options)
  {
  }

  // The rows have to be listed: this instance has just become their owner.
  void begin() { m_needs_listing = true; }
  void clear();

  bool needs_listing() const { return m_needs_listing; }
  // The next page of keys; answer with page_listed.
  store_read next_page() const;
  void page_listed(const store_read_result& page, time_point now);

  // The row of a task that has just ended.
  void add(const task_id& task, time_point now);

  // Chooses the rows that the next transaction deletes, at most as many as it has records.
  void choose_outdated(time_point now);
  const std::vector<std::string>& outdated() const { return m_outdated; }
  void outdated_deleted() { m_outdated.clear(); }

private:
  struct kept_row
  {
    std::string key;
    time_point until;
  };

  void keep(std::string key, time_point now);

  partition_rows m_rows;
  const ownership_options& m_options;
  bool m_needs_listing = false;
  std::string m_list_after;
  std::deque<kept_row> m_kept;         // oldest first
  std::vector<std::string> m_outdated; // keys
};
} // namespace yardhill::ownership
