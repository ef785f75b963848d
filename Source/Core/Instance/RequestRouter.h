// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Requests of callers and of peers on their way to the task's home, and the answers back.

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
#include "Instance/PeerBook.h"

namespace yardhill::instance
{
class request_router
{
public:
  using home_map = std::map<partition_id, partition_home>;

  request_router(instance_id self, zone_id zone, const routing_options& options, metrics& counts,
                 const peer_book& peers, home_map& homes);

  void from_caller(const caller_request& request, const cell_config& cell, time_point now);
  void from_peer(const instance_id& peer, const forward_request& request, const cell_config& cell,
                 time_point now);
  // The answer of a home of this instance.
  void home_replied(const decision::caller_reply& reply, time_point now);
  // The answer of a peer's.
  void peer_answered(const instance_id& peer, const forward_answer& reply, time_point now);
  // The links are broken: what it asked for is dropped, since it asks again; what it was asked for
  // is asked elsewhere, or of it again.
  void peer_unlinked(const instance_id& peer, time_point now);
  // It says nothing: what it was asked for is asked again.
  void peer_silent(const instance_id& peer, time_point now);
  // New requests are refused; those under way go on.
  void stop() { m_stopping = true; }

  void advance(time_point now);
  time_point next_timer() const;
  std::vector<command> take_commands();
  std::size_t pending() const { return m_pending.size(); }

private:
  enum class place
  {
    parked,  // no way to its home at present
    at_home, // given to a home of this instance
    at_peer
  };

  struct pending_request
  {
    request_purpose purpose = request_purpose::submit;
    task_spec spec;
    partition_id home;
    instance_id from_peer; // empty: a caller's
    std::uint64_t from_number = 0;
    std::uint32_t hops = 0;
    bool fresh = true;
    bool may_be_known = false; // it reached some home before
    std::uint32_t tries = 0;
    place where = place::parked;
    instance_id at;
    time_point arrived;
    time_point next_try = k_never; // while parked
    time_point due = k_never;      // the latest moment for an answer of any kind
  };

  using pending_map = std::map<std::uint64_t, pending_request>;

  bool fill_spec(const caller_request& request, const cell_config& cell, task_spec& spec,
                 answer& refusal);
  std::string mint_key();
  void add(pending_request request, const cell_config& cell, time_point now);
  void route(std::uint64_t number, time_point now);
  void give_to_home(std::uint64_t number, pending_request& request, partition_home& home,
                    time_point now);
  void give_to_peer(std::uint64_t number, pending_request& request, const instance_id& peer);
  std::optional<instance_id> next_hop(const pending_request& request, time_point now) const;
  void park(std::uint64_t number, pending_request& request, duration delay, time_point now);
  void give_up(std::uint64_t number, time_point now);
  void finish(std::uint64_t number, const answer& value);
  pending_map::iterator erase(pending_map::iterator entry);
  void pass_back_not_owner(std::uint64_t number, bool may_have_run);
  void send_not_owner(const pending_request& request, bool may_have_run);
  void send_answer(const pending_request& request, const answer& value);
  void count(const answer& value);

  instance_id m_self;
  zone_id m_zone;
  const routing_options& m_options;
  metrics& m_metrics;
  const peer_book& m_peers;
  home_map& m_homes;
  pending_map m_pending;
  std::set<std::pair<time_point, std::uint64_t>> m_timers; // of next_try and due
  std::uint64_t m_next_number = 1;
  std::uint64_t m_minted = 0;
  bool m_stopping = false;
  std::vector<command> m_commands;
};
} // namespace yardhill::instance
