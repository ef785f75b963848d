// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Routes requests from callers and peers to the task's home partition, and the answers back.

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "Common/CellConfig.h"
#include "Common/Metrics.h"
#include "Common/Options.h"
#include "Instance/InstanceCommands.h"
#include "Instance/InstanceEvents.h"
#include "Instance/PartitionHome.h"
#include "Instance/PeerRegistry.h"

namespace yardhill::instance
{
class request_router
{
public:
  using home_map = std::map<partition_id, partition_home>;

  request_router(instance_id self, zone_id zone, const routing_options& options, metrics& counts,
                 const peer_registry& peers, home_map& homes);

  void from_caller(const caller_request& request, const cell_config& cell, time_point now);
  void from_peer(const instance_id& peer, const forward_request& request, const cell_config& cell,
                 time_point now);
  // The answer of a home at this instance.
  void home_replied(const decision::caller_reply& reply, time_point now);
  // The answer of a peer to a request that was forwarded to it.
  void peer_answered(const instance_id& peer, const forward_answer& reply, time_point now);
  // The connections to the peer broke. Requests from the peer are dropped, because the peer repeats
  // them; requests forwarded to the peer are routed again, elsewhere or to the same peer.
  void peer_unlinked(const instance_id& peer, time_point now);
  // The peer is silent: requests forwarded to it are routed again.
  void peer_silent(const instance_id& peer, time_point now);
  // From now on new requests are refused; those in flight continue.
  void stop() { m_stopping = true; }

  void advance(time_point now);
  time_point next_timer() const;
  std::vector<command> take_commands();
  std::size_t pending() const { return m_pending.size(); }

private:
  enum class routing_state
  {
    parked,  // no route to the home at present
    at_home, // submitted to a home at this instance
    at_peer  // forwarded to a peer
  };

  struct pending_request
  {
    request_purpose purpose = request_purpose::submit;
    task_spec spec;
    partition_id home;
    instance_id from_peer; // empty: the request is from a caller
    std::uint64_t requester_number = 0;
    std::uint32_t hops = 0;
    bool fresh = true;
    bool may_have_reached_home = false; // a home may have received the request before
    std::uint32_t retries = 0;
    routing_state state = routing_state::parked;
    instance_id assigned_peer;           // while at_peer
    time_point routing_started;          // set anew when the home moved or a peer was lost
    time_point next_try = k_never;       // while parked
    time_point reply_deadline = k_never; // the requester gets an answer of some kind by then
  };

  using pending_map = std::map<std::uint64_t, pending_request>;

  bool fill_spec(const caller_request& request, const cell_config& cell, task_spec& spec,
                 answer& refusal);
  std::string mint_key();
  void add(pending_request request, const cell_config& cell, time_point now);
  void route(std::uint64_t number, time_point now);
  void submit_to_home(std::uint64_t number, pending_request& request, partition_home& home,
                      time_point now);
  void forward_to_peer(std::uint64_t number, pending_request& request, const instance_id& peer);
  std::optional<instance_id> next_hop(const pending_request& request, time_point now) const;
  void park(std::uint64_t number, pending_request& request, duration delay, time_point now);
  void finish_unroutable(std::uint64_t number, time_point now);
  void finish(std::uint64_t number, const answer& value);
  pending_map::iterator erase(pending_map::iterator entry);
  void return_not_owner(std::uint64_t number, bool may_have_run);
  void send_not_owner(const pending_request& request, bool may_have_run);
  void send_answer(const pending_request& request, const answer& value);
  void count(const answer& value);

  instance_id m_self;
  zone_id m_zone;
  const routing_options& m_options;
  metrics& m_metrics;
  const peer_registry& m_peers;
  home_map& m_homes;
  pending_map m_pending;
  std::set<std::pair<time_point, std::uint64_t>> m_timers; // of next_try and reply_deadline
  std::uint64_t m_next_number = 1;
  std::uint64_t m_minted = 0;
  bool m_stopping = false;
  std::vector<command> m_commands;
};
} // namespace yardhill::instance
