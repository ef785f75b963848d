// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Removes the rows of jobs that ended a while ago, so that a later owner reads what goes on and not
// everything that ever was.
//
// A job's own row goes first. Its progress, which says that it has ended, goes only once that is
// certain: an owner that found the job without it would run it again.

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
  // Rows go `keep` after the end of their job.
  row_sweeper(common::timekeeper& time, adapter::store_client& store, std::string partition,
              common::duration keep);
  ~row_sweeper();
  row_sweeper(const row_sweeper&) = delete;
  row_sweeper& operator=(const row_sweeper&) = delete;

  // Jobs whose end is written, or found to be written.
  void ended(const std::vector<std::string>& ids);
  // Called often; one transaction is under way at a time.
  void tick();

private:
  void remove_jobs(const std::vector<std::string>& ids);
  void remove_progress(const std::vector<std::string>& ids);
  // `next` follows if the transaction is done; otherwise all of it is tried again later.
  void send(adapter::transaction change, const std::vector<std::string>& ids,
            void (row_sweeper::*next)(const std::vector<std::string>&));
  void swept(const std::vector<std::string>& ids);

  common::timekeeper& m_time;
  adapter::store_client& m_store;
  std::string m_partition;
  common::duration m_keep;
  std::deque<std::pair<common::time_point, std::string>> m_ended; // in order of time
  bool m_busy = false;
  common::time_point m_try_after{};
  std::shared_ptr<int> m_alive; // answers to a sweeper that is gone are dropped
};
} // namespace yardhill::node
