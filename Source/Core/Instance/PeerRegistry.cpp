// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Instance/PeerRegistry.h"

#include <utility>

#include "Common/Hash.h"

namespace yardhill::instance
{
namespace
{
// Peers in other zones get only one heartbeat in four (see InstanceCore.cpp).
constexpr int k_remote_zone_silence_factor = 4;

std::uint64_t score(const partition_id& partition, const instance_id& candidate)
{
  return stable_hash(candidate.value, stable_hash(to_text(partition)));
}
} // namespace

peer_registry::peer_registry(instance_id self, zone_id zone, const ownership_options& options)
    : m_self(std::move(self)), m_zone(std::move(zone)), m_options(options)
{
}

void peer_registry::linked(const instance_id& peer, const zone_id& zone, time_point now)
{
  peer_entry& entry = m_peers[peer];
  entry.zone = zone;
  entry.last_heard = now;
}

void peer_registry::unlinked(const instance_id& peer)
{
  m_peers.erase(peer);
}

bool peer_registry::record_heartbeat(const instance_id& peer, const heartbeat& message,
                                     time_point now)
{
  const auto found = m_peers.find(peer);
  if (found == m_peers.end())
    return false;
  found->second.last_heard = now;
  found->second.silent = false;
  found->second.latest = message;
  return true;
}

duration peer_registry::silence_timeout(const peer_entry& peer) const
{
  return in_own_zone(peer) ? m_options.peer_silence
                           : m_options.peer_silence * k_remote_zone_silence_factor;
}

bool peer_registry::alive(const instance_id& peer, time_point now) const
{
  const auto found = m_peers.find(peer);
  return found != m_peers.end() && now - found->second.last_heard <= silence_timeout(found->second);
}

std::vector<instance_id> peer_registry::newly_silent(time_point now)
{
  std::vector<instance_id> found;
  for (auto& [id, peer] : m_peers)
  {
    if (!peer.silent && !alive(id, now))
    {
      peer.silent = true;
      found.push_back(id);
    }
  }
  return found;
}

std::optional<instance_id> peer_registry::owner_of(const partition_id& partition,
                                                   time_point now) const
{
  std::optional<instance_id> owner;
  term_number highest = 0;
  for (const auto& [id, peer] : m_peers)
  {
    if (!alive(id, now))
      continue;
    for (const owned_partition& owned : peer.latest.owned)
    {
      if (owned.partition == partition && owned.term >= highest)
      {
        highest = owned.term;
        owner = id;
      }
    }
  }
  return owner;
}

std::optional<instance_id> peer_registry::any_peer_in(const zone_id& zone, std::uint64_t seed,
                                                      time_point now) const
{
  std::vector<instance_id> candidates;
  for (const auto& [id, peer] : m_peers)
  {
    if (peer.zone == zone && alive(id, now) && !peer.latest.leaving)
      candidates.push_back(id);
  }
  if (candidates.empty())
    return std::nullopt;
  return candidates[seed % candidates.size()];
}

std::size_t peer_registry::rank_of_self(const partition_id& partition, time_point now) const
{
  const std::uint64_t own = score(partition, m_self);
  std::size_t rank = 0;
  for (const auto& [id, peer] : m_peers)
  {
    if (in_own_zone(peer) && alive(id, now) && !peer.latest.leaving && score(partition, id) > own)
      ++rank;
  }
  return rank;
}

std::optional<instance_id> peer_registry::successor(const partition_id& partition,
                                                    time_point now) const
{
  std::optional<instance_id> best;
  for (const auto& [id, peer] : m_peers)
  {
    if (!in_own_zone(peer) || !alive(id, now) || peer.latest.leaving)
      continue;
    if (!best || score(partition, id) > score(partition, *best))
      best = id;
  }
  return best;
}
} // namespace yardhill::instance
