// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Decides whether this instance may still serve callers under the configuration that it has.
//
// A configuration version that was confirmed is in force on every instance within a limit. An
// instance that has fallen behind, because its link is saturated or its path to the store is
// broken, cannot know what a newer version says, so the instance refuses requests: to answer that a
// route is unknown or that a job is gone could be wrong, while a refusal only sends the caller to
// another instance.

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
  // `limit`: the time within which a confirmed version has to be in force.
  configuration_watch(common::timekeeper& time, const table_feed& feed, const store_path& path,
                      const jobs::queue_table& queues, common::duration limit);

  void on_peer_report(const common::store_reachability_report& report);
  // What peers are told: the version in force here if it is certain to be the newest, else 0.
  std::uint64_t newest() const;
  // Whether a peer has reported a newer version than the one in force here.
  bool peer_has_newer() const { return m_peer_version > m_queues.version; }
  // Whether a newer version may exist that has to be in force by now. False before the first
  // configuration, and while neither this instance nor a peer reaches the store: other instances
  // then serve callers no better.
  bool may_be_outdated() const;

private:
  common::timekeeper& m_time;
  const table_feed& m_feed;
  const store_path& m_path;
  const jobs::queue_table& m_queues;
  common::duration m_limit;
  std::uint64_t m_peer_version = 0; // the newest that a peer has reported
  common::time_point m_peer_version_since{};
  // When a peer last reported the version in force here as the newest.
  common::time_point m_confirmed_at{};
  // When a peer last reported that the store answers it.
  common::time_point m_peer_reached_store_at{};
};
} // namespace yardhill::node
