// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// One instance without its sockets: feeds, partitions, advice and the callers' gateway, on top of a
// clock and senders that are passed in. The process passes real ones, the explorer virtual ones.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Common/CallNumbers.h"
#include "Http/RequestSender.h"
#include "Node/CallerGateway.h"
#include "Node/ConfigurationWatch.h"
#include "Node/LayoutManager.h"
#include "Node/LoopMonitor.h"
#include "Node/NodeSettings.h"
#include "Node/PartitionOwner.h"
#include "platform/AdviceClient.h"

namespace yardhill::node
{
// What an instance needs from its surroundings.
struct node_environment
{
  common::timekeeper& time;
  http::peer_sender& workers; // sends to the advice service as well
  http::peer_sender& store;
  std::function<void(const std::string& peer, const common::peer_message&)> send_to_peer;
  // Called with the limits for callers' requests whenever a configuration comes into force.
  std::function<void(const http::listener_limits&)> limits_changed;
  common::metrics& metrics;
};

class node_core
{
public:
  node_core(const node_settings& settings, const std::string& incarnation,
            const node_environment& environment);
  ~node_core();
  node_core(const node_core&) = delete;
  node_core& operator=(const node_core&) = delete;

  void start();
  // tick() does the periodic work that no event triggers, such as extending leases, repeating
  // requests to workers and noticing silent peers. It is to be called once per k_tick_period.
  static constexpr std::chrono::milliseconds k_tick_period{25};
  void tick();
  void handle(http::incoming_request request, http::responder respond);
  // Whether callers should be sent here.
  bool ready() const;

  void peer_linked(const std::string& peer, const std::string& zone);
  void peer_unlinked(const std::string& peer);
  void peer_received(const std::string& peer, const common::peer_message& message);

  // Begins a planned stop: releases the partitions that this instance owns. The process ends after
  // `time_left`, so callers are answered before then; without it their timeouts stay as they are.
  void begin_stop(std::optional<common::duration> time_left = std::nullopt);
  bool stopping() const { return m_stopping; }
  bool handed_over() const;
  bool owns_any() const;
  loop_monitor& loop() { return m_loop; }

  // The store client for feeds; it uses the direct path to the store only.
  adapter::store_client& feed_store() { return m_feed_store; }

private:
  void peer_reachable(const std::string& peer);
  void peer_unreachable(const std::string& peer);
  void on_way_report(const std::string& peer, const common::store_reachability_report& report);
  void on_operator_rows(const std::vector<adapter::row>& rows);
  void apply_configuration(const adapter::row& row);
  // Reads the configuration through a peer if a peer knows a newer version and the feed, on the
  // direct path to the store, does not deliver it.
  void fetch_configuration();
  void on_worker_rows(const std::vector<adapter::row>& rows, bool all);
  void on_owner_rows(const std::vector<adapter::row>& rows);
  void decide_layout();
  // How many partitions this instance owns or is taking over.
  std::size_t owned() const;
  void fetch_layout();
  void reread_owners();
  // Creates an object for each of the cell's partitions once the cell's layout is known.
  void create_partitions();
  // The processor time, in thousandths of a core, that one more partition would get on this
  // instance while it owns `owned` partitions.
  std::uint32_t shared_millis(std::size_t owned) const;
  std::uint32_t spare_millis(const std::string& partition) const;
  // Tells peers the processor time that this instance has for one more partition: they leave
  // partitions to an instance that has enough.
  void report_strength();
  void on_worker_row(const adapter::row& row);
  // The worker's entry is invalid: the worker gets no new tasks, and its running tasks go on.
  void invalidate_worker_entry(const std::string& id, const common::step_error& error);
  void remove_worker(const std::string& id);
  // Follows the workers' entries only while this instance owns a partition, is taking one over or
  // counts the workers to decide the cell's layout: all workers renew their entries periodically,
  // and every follower reads each renewal.
  void follow_workers();
  // Owners renew their rows twice a second, and each read by a follower is priced. An instance that
  // leaves a partition without an owner to stronger instances need not read each renewal at once.
  void pace_owner_feed();
  // Requests of feeds may wait for seconds although the store has recovered, so they are repeated.
  void restart_feed_requests();

  node_environment m_environment;
  instance_identity m_self;
  common::call_numbers m_call_numbers;
  common::duration m_status_retention;
  loop_monitor m_loop;
  std::optional<common::time_point> m_next_tick_due;
  std::uint32_t m_processor_millis;
  peer_monitor m_peers;
  store_path m_store_path;
  direct_store_path m_direct_path;
  store_clock m_store_clock;
  adapter::store_client m_store;      // uses the direct path or a peer
  adapter::store_client m_feed_store; // uses the direct path only
  adapter::worker_client m_workers;
  adapter::advice_client m_advice_client;
  advice_queue m_advice_queue;
  advice_pool m_advice;
  jobs::queue_table m_queues;
  table_feed m_operator_feed;
  configuration_watch m_configuration;
  std::map<std::string, scheduling::worker_info> m_worker_entries;
  std::set<std::string> m_invalid_workers; // those whose current entry is invalid
  known_capacities m_capacities;
  layout_manager m_layout;
  std::vector<std::unique_ptr<partition_owner>> m_partitions; // empty before the layout is known
  job_store m_jobs;
  job_state_queries m_states;
  caller_gateway m_gateway;
  table_feed m_worker_feed;
  table_feed m_owner_feed;
  // When the feeds' requests were last repeated after an outage of the store.
  common::time_point m_feeds_restarted_at{};
  common::time_point m_configuration_fetched_at{}; // when it was last requested through a peer
  common::time_point m_layout_fetched_at{};        // when it was last requested through a peer
  bool m_owners_reread_due = false; // the feed has to read the owner rows of all partitions
  std::set<std::string> m_linked;
  std::uint32_t m_reported_strength = 0;
  bool m_follows_workers = false;
  bool m_stopping = false;
};
} // namespace yardhill::node
