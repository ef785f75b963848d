// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Commits an owner's decisions to the store: one transaction at a time, each conditional on the
// owner's row still being the one it wrote and on no other commit in between.
//
// A commit that the store refuses as invalid is given back. One without a reply is sent again
// unchanged. If an earlier copy of it was carried out, or is
// carried out later, the conditions let only one of the copies succeed.

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
// Versions of the rows of a partition's owner and of its last commit.
struct commit_position
{
  adapter::row_version owner_version = 0;
  adapter::row_version commit_version = 0; // 0: nothing was ever committed
  std::uint64_t number = 0;                // of the last commit
};

// A commit that the store has carried out.
struct written_commit
{
  scheduling::commit_batch batch;
  std::optional<owner_row> owner;   // if the owner's row was written as well
  adapter::row_version version = 0; // of the rows written
  common::time_point sent;          // when it was sent; it was carried out no earlier
};

struct commit_handlers
{
  std::function<void(const written_commit&)> written;
  // The owner's row names another owner, so this ownership has ended.
  std::function<void(const adapter::row& owner)> replaced;
  // The store has refused the commit as invalid. Nothing of it was written, and writing it again
  // would end in the same way.
  std::function<void(const scheduling::commit_batch& batch)> refused;
};

class commit_writer
{
public:
  // `clock`: converts the times in claims to the store's clock.
  commit_writer(common::timekeeper& time, adapter::store_client& store, const store_clock& clock,
                common::metrics& counts, std::string partition, std::string incarnation,
                commit_handlers handlers);
  commit_writer(const commit_writer&) = delete;
  commit_writer& operator=(const commit_writer&) = delete;
  ~commit_writer();

  // To be called before the first commit of an ownership.
  void begin(const commit_position& position) { m_position = position; }
  bool busy() const { return m_pending.has_value(); }
  // Whether the commit in flight contains the job's row.
  bool has_in_flight(const std::string& job) const;
  // Called only while not busy().
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
  void on_reply(const adapter::transaction_result& result);
  void on_conflict(const adapter::transaction_result& result);
  void on_committed(adapter::row_version version);
  void on_refused(const std::string& detail);
  void retry();

  common::timekeeper& m_time;
  adapter::store_client& m_store;
  const store_clock& m_clock;
  common::metrics& m_metrics;
  std::string m_partition;
  std::string m_incarnation;
  commit_handlers m_handlers;
  commit_position m_position;
  std::optional<pending> m_pending;
  common::one_shot_timer m_retry_timer;
  std::shared_ptr<int> m_alive; // replies that arrive after the writer's destruction are dropped
};

adapter::row_key owner_key(const std::string& partition);
// The existing row of that table among `rows`; null if there is none.
const adapter::row* find_row(const std::vector<adapter::row>& rows, const char* table);
} // namespace yardhill::node
