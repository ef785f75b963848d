// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// What an instance has seen of a partition's owner, and whether it should take the partition over.
// No I/O.

#include <optional>
#include <set>
#include <string>

#include "Common/Timekeeper.h"
#include "Node/OwnerRow.h"
#include "Node/OwnershipOptions.h"

namespace yardhill::node
{
struct instance_identity
{
  std::string name;
  std::string life; // new at each start of the process
};

class owner_watch
{
public:
  owner_watch(const common::timekeeper& time, const store_clock& clock, instance_identity self,
              std::string partition, const ownership_options& options);

  const observed_owner& seen() const { return m_seen; }
  // The row as the feed or a conflict shows it; nothing if it is older than what was seen, or
  // damaged.
  std::optional<owner_row> take_in(const adapter::row& row);
  // A row that this instance has written itself.
  void written(const owner_row& row, adapter::row_version version);
  // The link to that instance has come up or has broken, or it is silent.
  void peer_link_changed(const std::string& peer, bool linked);

  // A takeover whose write got no answer: it may have been done, or may be later.
  void takeover_unclear(const owner_row& row) { m_unclear_takeover = row; }
  // Whether the row is what such a takeover wrote.
  bool is_unclear_takeover(const owner_row& row) const;
  // No takeover is tried for this time.
  void pause(common::duration time) { m_try_after = m_time.now() + time; }
  // Whether the partition should be taken over now. `feed_healthy_since`: of the owners' feed;
  // `stronger_peer`: an instance that could bear it better would do it.
  bool takeover_due(common::time_point now, common::time_point feed_healthy_since,
                    bool stronger_peer) const;
  // When the owner that was seen has given its last order, if it is replaced now.
  common::time_point requests_end() const;
  // The same for the owners before it; the beginning of time if there were none.
  common::time_point predecessors_requests_end() const;
  // Whose process the owner is or, if it has given the partition back, was; empty: not known.
  const std::string& instance() const { return m_instance; }

private:
  bool earlier_process_of_ours() const;
  // As the owner that was seen has written it.
  std::optional<common::time_point> told_predecessors_end() const;
  void see(const owner_row& row, adapter::row_version version);

  const common::timekeeper& m_time;
  const store_clock& m_clock;
  instance_identity m_self;
  std::string m_partition;
  ownership_options m_options;
  common::time_point m_began; // to watch
  observed_owner m_seen;
  std::string m_instance;
  common::time_point m_try_after{};
  std::optional<owner_row> m_unclear_takeover;
  std::set<std::string> m_unlinked; // peers whose link has broken and not come back
};
} // namespace yardhill::node
