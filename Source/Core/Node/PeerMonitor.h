// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Tracks which linked peers are alive and which of them reach the store.
//
// A broken link reveals a dead process at once, but an unreachable machine only after the link's
// timeout. So an owner queries its peers periodically, and so does an instance that doubts its own
// path to the store or knows of silent peers, with some of them, for as long as that lasts. A peer
// that leaves a query unanswered, or an owner that stops sending queries, counts as silent until
// its next message. An owner whose recent messages came late, or that reports that its event loop
// was late, is busy: it counts as silent only after a longer time, up to a bound.
//
// The cost must not grow with the square of the number of instances: if the store rejected a third
// of 147 instances, 50 of them would query all others, 30,000 queries a second. So an instance in
// doubt queries a few peers, different ones than other instances do, and an owner with many peers
// queries those often that might take over from it, and the others in turn.

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "Common/PeerMessages.h"
#include "Common/Timekeeper.h"
#include "Node/MessageGaps.h"

namespace yardhill::node
{
// What peers need to know of this instance.
struct own_identity
{
  std::string name;
  std::string zone;
  std::uint32_t processor_millis = 0;
};

struct peer_events
{
  std::function<void(const std::string& peer)> reachable;   // linked, or no longer silent
  std::function<void(const std::string& peer)> unreachable; // silent, or its link is broken
};

class peer_monitor
{
public:
  using sender = std::function<void(const std::string& peer, const common::peer_message&)>;

  peer_monitor(common::timekeeper& time, own_identity self, sender send, peer_events events);

  void linked(const std::string& peer, const std::string& zone);
  void unlinked(const std::string& peer);
  // Called for any message of the peer, since each shows that the peer is alive.
  void heard(const std::string& peer);
  // `own`: the report that this instance sends back.
  void on_query(const std::string& peer, const common::store_reachability_query& query,
                const common::store_reachability_report& own);
  void on_report(const std::string& peer, const common::store_reachability_report& report);
  void on_strength(const std::string& peer, const common::processor_capacity_report& report);
  // The peer has just rejected a relayed request or left it unanswered.
  void avoid(const std::string& peer);

  // Called at each tick of the event loop. `owner`: this instance owns a partition; `in_doubt`: it
  // doubts its path to the store.
  void tick(common::time_point now, bool owner, bool in_doubt);

  // The peer to relay requests to the store through: one that is alive and, as far as is known,
  // reaches the store; an owner only if there is no other. Each instance has its own order of
  // preference, so that not all instances use the same peer.
  std::optional<std::string> relay_peer() const;
  // The number of linked peers, including silent ones.
  std::size_t count() const { return m_peers.size(); }
  // The largest processor time, in thousandths of a core, reported by any peer that is alive and,
  // as far as is known, reaches the store; 0 if there is no such peer.
  std::uint32_t strongest() const;
  // Whether all other zones are unreachable: peers there have been linked, and all that still are
  // linked are silent. With many peers there, a few silent ones are enough if no other has been
  // heard lately.
  bool cut_off() const;

private:
  // An owner that has sent no message for this long is silent, however late its messages were
  // before. This is well before its missing renewals alone show that it is gone
  // (ownership_options::silence).
  static constexpr std::chrono::milliseconds k_max_timeout{2000};

  struct peer
  {
    std::string zone;
    std::uint64_t rank = 0; // in this instance's order of preference; the lowest comes first
    bool silent = false;
    bool queries_often = false; // it owns a partition and sends queries periodically
    bool reaches_store = true;  // assumed until it reports otherwise
    std::uint32_t processor_millis = 0;
    common::time_point heard_at;
    common::time_point avoid_until{};
    // When the oldest query without a reply was sent.
    std::optional<common::time_point> unanswered_since;
    message_gaps gaps{k_max_timeout};               // between messages while it owns a partition
    std::chrono::milliseconds reported_lateness{0}; // of its event loop, as it reports itself
  };

  common::store_reachability_query make_query(bool often, common::time_point now) const;
  void send_queries(common::time_point now, bool owner, bool in_doubt);
  void send_query(const std::string& name, peer& each, bool often, common::time_point now);
  void query_as_owner(common::time_point now);
  void query_some(common::time_point now);
  void announce_stop(common::time_point now);
  void restart_timeouts(common::time_point now);
  // The timeout for a message of the peer: `base` if the peer is not busy, longer if it is.
  common::duration timeout(const peer& each, common::duration base, common::time_point now) const;
  bool overdue(const peer& each, common::time_point now) const;

  common::timekeeper& m_time;
  own_identity m_self;
  sender m_send;
  peer_events m_events;
  std::map<std::string, peer> m_peers;
  bool m_other_zones_linked = false; // a peer of another zone has been linked at least once
  common::time_point m_last_tick{};
  message_gaps m_tick_gaps{k_max_timeout};
  common::time_point m_last_query_at{};
  std::uint64_t m_query_rounds = 0; // of queries that this instance has sent as an owner
  bool m_was_owner = false;
};
} // namespace yardhill::node
