// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The linked peer instances and the latest heartbeat from each.

#include <map>
#include <optional>
#include <vector>

#include "Common/Ids.h"
#include "Common/Options.h"
#include "Common/PeerMessages.h"
#include "Common/Time.h"

namespace yardhill::instance
{
using namespace common;

struct peer_entry
{
  zone_id zone;
  time_point last_heard{};
  bool silent = false; // as of the last call to newly_silent()
  heartbeat latest;
};

class peer_registry
{
public:
  peer_registry(instance_id self, zone_id zone, const ownership_options& options);

  void linked(const instance_id& peer, const zone_id& zone, time_point now);
  void unlinked(const instance_id& peer);
  // Returns false, and records nothing, for a peer that is not linked.
  bool record_heartbeat(const instance_id& peer, const heartbeat& message, time_point now);

  bool alive(const instance_id& peer, time_point now) const;
  // The linked peers that became silent since the last call.
  std::vector<instance_id> newly_silent(time_point now);
  // How long the peer may be silent and still count as alive. Peers in other zones get heartbeats
  // less often, so the time for them is longer.
  duration silence_timeout(const peer_entry& peer) const;
  bool in_own_zone(const peer_entry& peer) const { return peer.zone == m_zone; }
  const std::map<instance_id, peer_entry>& all() const { return m_peers; }

  // The live peer that reports ownership of the partition at the highest term in its heartbeats.
  std::optional<instance_id> owner_of(const partition_id& partition, time_point now) const;
  // A live peer in the zone that is not leaving; `seed` spreads the choice over the candidates.
  std::optional<instance_id> any_peer_in(const zone_id& zone, std::uint64_t seed,
                                         time_point now) const;
  // This instance's rank for the partition among the live instances of its zone, by rendezvous
  // hashing; 0 is first.
  std::size_t rank_of_self(const partition_id& partition, time_point now) const;
  // The live peer in this zone that ranks first for the partition.
  std::optional<instance_id> successor(const partition_id& partition, time_point now) const;

private:
  instance_id m_self;
  zone_id m_zone;
  const ownership_options& m_options;
  std::map<instance_id, peer_entry> m_peers;
};
} // namespace yardhill::instance
