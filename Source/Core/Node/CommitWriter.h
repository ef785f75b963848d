// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Writes down what an owner decides: one transaction at a time, each under the condition that the
// owner's row is still the one it wrote and that no other commit came in between.
//
// A commit without an answer is sent again as it was; if an earlier copy of it was done, or is done
// later, the conditions let only one of them through.

#include <functional>
#include <optional>
#include <string>

#include "Common/Metrics.h"
#include "Common/Timekeeper.h"
#include "Node/OwnerRow.h"
#include "Scheduling/JobScheduler.h"
#include "platform/StoreClient.h"

namespace yardhill::node
{
// Where the rows of a partition's owner and of its last commit stand.
struct commit_position
{
  adapter::row_version owner_version = 0;
  adapter::row_version commit_version = 0; // 0: nothing was ever committed
  std::uint64_t number = 0;                // of the last commit
};

// A commit that is written.
struct written_commit
{
  scheduling::commit_batch batch;
  std::optional<owner_row> owner;   // if the owner's row was written with it
  adapter::row_version version = 0; // of the rows written
  common::time_point sent;          // when the store was asked; the word is at least that fresh
};

struct commit_handlers
{
  std::function<void(const written_commit&)> written;
  // The owner's row is another's: this ownership is over.
  std::function<void(const adapter::row& owner)> replaced;
};

class commit_writer
{
public:
  // `clock`: for the claims.
  commit_writer(common::timekeeper& time, adapter::store_client& store, const store_clock& clock,
                common::metrics& counts, std::string partition, std::string life,
                commit_handlers handlers);
  commit_writer(const commit_writer&) = delete;
  commit_writer& operator=(const commit_writer&) = delete;
  ~commit_writer();

  // Before the first commit of an ownership.
  void begin(const commit_position& position) { m_position = position; }
  bool busy() const { return m_pending.has_value(); }
  // Whether a job's row is on its way.
  bool carries(const std::string& job) const;
  // Only while not busy.
  void write(scheduling::commit_batch batch, std::optional<owner_row> owner);

private:
  struct pending
  {
    written_commit commit;
    adapter::transaction change;
    std::uint64_t number = 0;
    common::time_point first_sent = common::time_point::max();
  };

  void send();
  void on_answer(const adapter::transaction_result& result);
  void on_conflict(const adapter::transaction_result& result);
  void done(adapter::row_version version);
  void retry();

  common::timekeeper& m_time;
  adapter::store_client& m_store;
  const store_clock& m_clock;
  common::metrics& m_metrics;
  std::string m_partition;
  std::string m_life;
  commit_handlers m_handlers;
  commit_position m_position;
  std::optional<pending> m_pending;
  common::one_shot_timer m_retry_timer;
  std::shared_ptr<int> m_alive; // answers to a writer that is gone are dropped
};

adapter::row_key owner_key(const std::string& partition);
// The row of that table among `rows`; null if it is not there.
const adapter::row* row_in(const std::vector<adapter::row>& rows, const char* table);
} // namespace yardhill::node
