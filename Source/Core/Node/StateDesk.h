// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The states of jobs, asked of the instance that owns their partition.
//
// The owner knows what is written without a call to the store, and goes on knowing it while the
// store is slow or away. What it does not know is left to the store.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Common/PeerMessages.h"
#include "Common/Timekeeper.h"
#include "Jobs/JobProgress.h"
#include "Node/PartitionOwner.h"

namespace yardhill::node
{
class state_desk
{
public:
  using sender = std::function<void(const std::string& peer, const common::peer_message&)>;
  // Nothing if the owner does not know the job or did not answer in time.
  using handler = std::function<void(std::optional<jobs::job_state>)>;

  state_desk(common::timekeeper& time, sender send,
             const std::vector<std::unique_ptr<partition_owner>>& partitions);

  // `done` may be called at once.
  void ask(const partition_owner& partition, const std::string& id, handler done);

  void peer_reachable(const std::string& peer);
  void peer_unreachable(const std::string& peer);
  void on_question(const std::string& peer, const common::job_state_query& question);
  void on_reply(const std::string& peer, const common::job_state_reply& reply);
  void tick(common::time_point now);

private:
  struct asked
  {
    std::string peer;
    handler done;
    common::time_point overdue;
  };

  common::timekeeper& m_time;
  sender m_send;
  const std::vector<std::unique_ptr<partition_owner>>& m_partitions;
  std::set<std::string> m_reachable;
  std::map<std::uint64_t, asked> m_asked;
  std::uint64_t m_number = 0;
};
} // namespace yardhill::node
