// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Queries the state of a job from the instance that owns the job's partition, and answers such
// queries of peers.
//
// The owner knows the stored state without a call to the store, also while the store is slow or
// unavailable. For a job that the owner does not know, the caller has to read the store.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Common/CallNumbers.h"
#include "Common/PeerMessages.h"
#include "Common/Timekeeper.h"
#include "Jobs/JobProgress.h"
#include "Node/PartitionOwner.h"

namespace yardhill::node
{
class job_state_queries
{
public:
  using sender = std::function<void(const std::string& peer, const common::peer_message&)>;
  // Called with no state if the owner does not know the job or did not answer in time.
  using handler = std::function<void(std::optional<jobs::job_state>)>;

  job_state_queries(common::timekeeper& time, common::call_numbers& numbers, sender send,
                    const std::vector<std::unique_ptr<partition_owner>>& partitions);

  // Asks the partition's owner for the state of job `id`. `done` may be called before this returns.
  void ask(const partition_owner& partition, const std::string& id, handler done);

  void peer_reachable(const std::string& peer);
  void peer_unreachable(const std::string& peer);
  void on_query(const std::string& peer, const common::job_state_query& query);
  void on_reply(const std::string& peer, const common::job_state_reply& reply);
  void tick(common::time_point now);

private:
  struct pending_query
  {
    std::string peer;
    handler done;
    common::time_point deadline;
  };

  common::timekeeper& m_time;
  common::call_numbers& m_numbers;
  sender m_send;
  const std::vector<std::unique_ptr<partition_owner>>& m_partitions;
  std::set<std::string> m_reachable;
  std::map<std::uint64_t, pending_query> m_pending;
};
} // namespace yardhill::node
