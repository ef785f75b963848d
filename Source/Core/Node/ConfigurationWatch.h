// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Whether this instance may still serve callers by the configuration that it has.
//
// A version that was confirmed is in force everywhere within a limit. An instance that has fallen
// behind, because its link is full or its way to the store is broken, cannot know what it says, so
// it refuses: a route told as unknown, or a job taken for one that is gone, would be wrong, while a
// refusal only sends the caller elsewhere.

#include <cstdint>
#include <optional>

#include "Common/PeerMessages.h"
#include "Common/Timekeeper.h"
#include "Jobs/QueueTable.h"
#include "Node/StorePath.h"
#include "Node/TableFeed.h"

namespace yardhill::node
{
class configuration_watch
{
public:
  // `limit`: how long a confirmed version may take until it is in force.
  configuration_watch(common::timekeeper& time, const table_feed& feed, const store_path& path,
                      const jobs::queue_table& queues, common::duration limit);

  void peer_told(const common::store_reachability_report& report);
  // For peers: the version that is certain to be the newest; 0 if none is.
  std::uint64_t newest() const;
  // Whether a peer knows a newer version than the one in force here.
  bool newer_elsewhere() const { return m_newer > m_queues.version; }
  // Whether a newer version may have to be in force already. False before the first configuration,
  // and while nobody here reaches the store: others serve callers no better then.
  bool late() const;

private:
  common::timekeeper& m_time;
  const table_feed& m_feed;
  const store_path& m_path;
  const jobs::queue_table& m_queues;
  common::duration m_limit;
  std::uint64_t m_newer = 0; // that a peer has told of
  common::time_point m_newer_since{};
  common::time_point m_vouched_at{};      // a peer said that the version here is the newest
  common::time_point m_peer_reached_at{}; // a peer said that the store answers it
};
} // namespace yardhill::node
