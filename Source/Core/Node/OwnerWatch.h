// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Tracks what an instance has observed of a partition's owner and decides whether the instance
// should take the partition over. No I/O.

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
  std::string incarnation; // new at each start of the process
};

class owner_watch
{
public:
  owner_watch(const common::timekeeper& time, const store_clock& clock, instance_identity self,
              std::string partition, const ownership_options& options);

  const observed_owner& observed() const { return m_observed; }
  // Processes an owner row from the feed or from a conflict. Returns none if the row is older than
  // the observed one, or damaged.
  std::optional<owner_row> update(const adapter::row& row);
  // Processes a row that this instance has written itself.
  void row_written(const owner_row& row, adapter::row_version version);
  // The link to that instance has come up (`linked`), or has broken or become silent.
  void peer_link_changed(const std::string& peer, bool linked);

  // Remembers a takeover whose write got no reply: it may have been carried out, or may be later.
  void takeover_unanswered(const owner_row& row) { m_unanswered_takeover = row; }
  // Whether the row is what such a takeover wrote.
  bool is_unanswered_takeover(const owner_row& row) const;
  // No takeover is attempted for this time.
  void delay_takeover(common::duration time) { m_no_takeover_before = m_time.now() + time; }
  // Whether the partition should be taken over now. `feed_healthy_since`: since when the feed of
  // the owners' table has been healthy; `stronger_peer`: whether a peer that is much stronger could
  // take it over instead.
  bool takeover_due(common::time_point now, common::time_point feed_healthy_since,
                    bool stronger_peer) const;
  // When the observed owner has certainly sent its last request to a worker, if it is replaced now.
  common::time_point requests_end() const;
  // The same for the owners before it; time_point{} if there were none.
  common::time_point predecessors_requests_end() const;
  // The instance whose process is the owner or, if the partition was released, was the last owner;
  // empty: unknown.
  const std::string& instance() const { return m_instance; }

private:
  bool owned_by_previous_process() const;
  // predecessors_requests_end() as the observed owner has reported it in its row.
  std::optional<common::time_point> reported_predecessors_end() const;
  void set_observed(const owner_row& row, adapter::row_version version);

  const common::timekeeper& m_time;
  const store_clock& m_clock;
  instance_identity m_self;
  std::string m_partition;
  ownership_options m_options;
  common::time_point m_watching_since;
  observed_owner m_observed;
  std::string m_instance;
  common::time_point m_no_takeover_before{};
  std::optional<owner_row> m_unanswered_takeover;
  std::set<std::string> m_unlinked; // peers whose link has broken and not come back
};
} // namespace yardhill::node
