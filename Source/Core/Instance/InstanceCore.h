// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// One entry instance as a deterministic state machine: events in, commands out.
//
// No I/O, threads, clock or randomness of its own: a recorded run replays exactly.

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "Common/Metrics.h"
#include "Common/Options.h"
#include "Instance/ConfigManager.h"
#include "Instance/InstanceCommands.h"
#include "Instance/InstanceEvents.h"
#include "Instance/PartitionHome.h"
#include "Instance/PeerRegistry.h"
#include "Instance/RequestRouter.h"

namespace yardhill::instance
{
struct instance_identity
{
  instance_id id; // new at each start of the process
  zone_id zone;
};

class instance_core
{
public:
  instance_core(const instance_identity& identity, const core_options& options,
                const decision::placement_policy& policy, metrics& counts, time_point now);

  std::vector<command> step(const event& incoming, time_point now);
  // The time at which to call step() with timer_expired unless another event comes first.
  time_point next_timer() const;

  // --- for status pages and tests ---
  const config_manager& config() const { return m_config; }
  const std::map<partition_id, partition_home>& homes() const { return m_homes; }
  const peer_registry& peers() const { return m_peers; }
  bool stopping() const { return m_stopping; }
  // Whether the instance can serve requests: a configuration is in force, the instance is not
  // stopping, and it knows an owner for each of its zone's partitions.
  bool ready(time_point now) const;

private:
  // Which part of the core a call to the table service belongs to.
  struct call_owner
  {
    bool config = false;
    partition_id partition;
  };

  void handle(const caller_request& request, time_point now);
  void handle(const apply_request& request, time_point now);
  void handle(const peer_linked& link, time_point now);
  void handle(const peer_unlinked& link, time_point now);
  void handle(const peer_received& received, time_point now);
  void handle(const claim_returned& returned, time_point now);
  void handle(const start_returned& returned, time_point now);
  void handle(const store_returned& returned, time_point now);
  void handle(const stop_requested& asked, time_point now);
  void handle(const timer_expired& passed, time_point now);

  // Messages of the advice protocol, which only instances on the platform handle; this core
  // ignores them.
  void receive(const instance_id&, const advice_request&, time_point) {}
  void receive(const instance_id&, const advice_reply&, time_point) {}
  void receive(const instance_id&, const relay_request&, time_point) {}
  void receive(const instance_id&, const relay_reply&, time_point) {}
  void receive(const instance_id&, const job_notice&, time_point) {}
  void receive(const instance_id&, const store_reachability_query&, time_point) {}
  void receive(const instance_id&, const store_reachability_report&, time_point) {}
  void receive(const instance_id&, const job_state_query&, time_point) {}
  void receive(const instance_id&, const job_state_reply&, time_point) {}
  void receive(const instance_id&, const processor_capacity_report&, time_point) {}
  void receive(const instance_id&, const previous_requests_query&, time_point) {}
  void receive(const instance_id&, const previous_requests_reply&, time_point) {}
  void receive(const instance_id& peer, const heartbeat& message, time_point now);
  void receive(const instance_id& peer, const forward_request& message, time_point now);
  void receive(const instance_id& peer, const forward_answer& message, time_point now);
  void receive(const instance_id& peer, const config_push& message, time_point now);
  void receive(const instance_id& peer, const config_pull& message, time_point now);
  void receive(const instance_id& peer, const handover& message, time_point now);

  void advance(time_point now);
  void advance_config(time_point now);
  bool advance_homes(time_point now);
  void configure_homes(time_point now);
  void answer_reply(const decision::caller_reply& reply, time_point now);
  void send_heartbeats(time_point now);
  heartbeat own_heartbeat() const;
  void advance_stop(time_point now);
  void call_store(const call_owner& owner, ownership::store_call request);
  partition_home* home_of_worker(const worker_id& worker);
  void set_gauges();

  instance_identity m_identity;
  core_options m_options;
  const decision::placement_policy& m_policy;
  metrics& m_metrics;
  config_manager m_config;
  peer_registry m_peers;
  std::map<partition_id, partition_home> m_homes;
  request_router m_router;
  std::unordered_map<worker_id, partition_id> m_worker_homes;
  std::unordered_map<std::uint64_t, call_owner> m_calls;
  std::uint64_t m_next_call = 1;
  time_point m_next_heartbeat{};
  std::uint32_t m_heartbeat_rounds = 0;
  bool m_stopping = false;
  bool m_stop_reported = false;
  std::vector<command> m_commands;
};
} // namespace yardhill::instance
