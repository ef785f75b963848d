// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Decides when the rows of a partition's ended tasks are deleted. The table has no clock of its
// own: a new owner lists the rows that ended under earlier owners and counts their retention from
// the time of the listing.

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

  // Requests a listing of the rows, because this instance has just become their owner.
  void begin() { m_needs_listing = true; }
  void clear();

  bool needs_listing() const { return m_needs_listing; }
  // The read of the next page of keys; its result goes to page_listed.
  store_read next_page() const;
  void page_listed(const store_read_result& page, time_point now);

  // Adds the row of a task that has just ended; the row's retention begins at `now`.
  void add(const task_id& task, time_point now);

  // Selects the expired rows that the next transaction deletes: at most as many rows as records may
  // share a transaction.
  void select_expired(time_point now);
  const std::vector<std::string>& expired_keys() const { return m_expired_keys; }
  void expired_deleted() { m_expired_keys.clear(); }

private:
  struct retained_row
  {
    std::string key;
    time_point expires;
  };

  void retain(std::string key, time_point now);

  partition_rows m_rows;
  const ownership_options& m_options;
  bool m_needs_listing = false;
  std::string m_list_after;
  std::deque<retained_row> m_retained;     // in order of expiry
  std::vector<std::string> m_expired_keys; // to be deleted by the next transaction
};
} // namespace yardhill::ownership
