// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Removes the rows of jobs that ended a while ago, so that a later owner does not have to read
// every job that there ever was.
//
// A job's own row is removed first. Its progress row, which says that the job has ended, is removed
// only once that removal is certain: an owner that found the job without its progress would run it
// again.

#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "Common/Timekeeper.h"
#include "platform/StoreClient.h"

namespace yardhill::node
{
class row_sweeper
{
public:
  // Rows are removed `retention` after the end of their job.
  row_sweeper(common::timekeeper& time, adapter::store_client& store, std::string partition,
              common::duration retention);
  ~row_sweeper();
  row_sweeper(const row_sweeper&) = delete;
  row_sweeper& operator=(const row_sweeper&) = delete;

  // Adds jobs whose end is committed, or was found to be committed.
  void add_ended(const std::vector<std::string>& ids);
  // Adds continuation rows of progress that no job needs.
  void add_unneeded_progress(const std::vector<std::string>& keys);
  // Called often; at most one transaction is in flight.
  void tick();

private:
  void remove_jobs(const std::vector<std::string>& ids);
  void remove_unneeded_progress();
  void remove_progress(const std::vector<std::string>& ids);
  // Calls `next` once the transaction is carried out; otherwise all of `ids` are tried again later.
  void send(adapter::transaction change, const std::vector<std::string>& ids,
            void (row_sweeper::*next)(const std::vector<std::string>&));
  void on_removed(const std::vector<std::string>& ids);

  common::timekeeper& m_time;
  adapter::store_client& m_store;
  std::string m_partition;
  common::duration m_retention;
  std::deque<std::pair<common::time_point, std::string>> m_ended; // oldest first
  std::vector<std::string> m_unneeded;                            // keys of progress rows
  bool m_busy = false;
  common::time_point m_next_attempt{};
  std::shared_ptr<int> m_alive; // replies that arrive after the sweeper's destruction are dropped
};
} // namespace yardhill::node
