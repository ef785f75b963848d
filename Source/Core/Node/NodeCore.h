// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// One instance without its sockets: feeds, partitions, advice and the callers' gateway, around a
// clock and senders that are handed in. The process gives it real ones, the explorer virtual ones.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Http/RequestSender.h"
#include "Node/CallerGateway.h"
#include "Node/ConfigurationWatch.h"
#include "Node/LayoutKeeper.h"
#include "Node/LoopMonitor.h"
#include "Node/NodeSettings.h"
#include "Node/PartitionOwner.h"
#include "platform/AdviceClient.h"

namespace yardhill::node
{
// The world of an instance.
struct node_world
{
  common::timekeeper& time;
  http::peer_sender& workers; // and the advice service
  http::peer_sender& store;
  std::function<void(const std::string& peer, const common::peer_message&)> send_to_peer;
  // The operator has set other limits for what callers send.
  std::function<void(const http::listener_limits&)> limits_changed;
  common::metrics& metrics;
};

class node_core
{
public:
  node_core(const node_settings& settings, const std::string& life, const node_world& world);
  ~node_core();
  node_core(const node_core&) = delete;
  node_core& operator=(const node_core&) = delete;

  void start();
  // The steps that no event causes: leases to extend, orders to repeat, silences to notice.
  static constexpr std::chrono::milliseconds k_tick_period{25};
  void tick();
  void handle(http::incoming_request request, http::responder respond);
  // Whether callers should be sent here.
  bool ready() const;

  void peer_linked(const std::string& peer, const std::string& zone);
  void peer_unlinked(const std::string& peer);
  void peer_received(const std::string& peer, const common::peer_message& message);

  // Planned stop: gives back what it owns. Whoever still calls is answered within `left`, when the
  // process ends; without it nobody is hurried.
  void begin_stop(std::optional<common::duration> left = std::nullopt);
  bool stopping() const { return m_stopping; }
  bool handed_over() const;
  bool owns_any() const;
  loop_monitor& loop() { return m_loop; }

  // The direct way to the store, for feeds.
  adapter::store_client& feed_store() { return m_feed_store; }

private:
  void peer_reachable(const std::string& peer);
  void peer_unreachable(const std::string& peer);
  void on_way_report(const std::string& peer, const common::store_reachability_report& report);
  void on_operator_rows(const std::vector<adapter::row>& rows);
  void take_configuration(const adapter::row& row);
  // A peer knows a newer one, and the direct way to the store does not bring it: it is read through
  // a peer.
  void fetch_configuration();
  void on_worker_rows(const std::vector<adapter::row>& rows, bool all);
  void on_owner_rows(const std::vector<adapter::row>& rows);
  void decide_layout();
  // How many partitions this instance owns or is about to.
  std::size_t owned() const;
  void fetch_layout();
  void read_owners_anew();
  // Begins to take part in the partitions once the cell's layout is known.
  void divide();
  // Of its processor, what one more partition would get beside so many that it owns.
  std::uint32_t shared_millis(std::size_t owned) const;
  std::uint32_t spare_millis(const std::string& partition) const;
  // Peers leave partitions to an instance that can bear one more.
  void tell_strength();
  void on_worker_row(const adapter::row& row);
  // The worker's entry cannot be believed: it gets nothing new, what runs there goes on.
  void doubt_worker(const std::string& id, const common::step_error& why);
  void remove_worker(const std::string& id);
  // Workers' entries are followed while this instance owns a partition or takes one over: all of
  // them renew theirs all the time, and every follower reads each renewal.
  void follow_workers();
  // Owners renew their rows twice a second, and each follower's call is priced. Whoever leaves a
  // partition without an owner to stronger instances need not hear of each renewal.
  void pace_owner_feed();
  // Calls of feeds may wait for seconds for a store that has come back meanwhile.
  void ask_feeds_again();

  node_world m_world;
  instance_identity m_self;
  common::duration m_keep_status;
  loop_monitor m_loop;
  std::optional<common::time_point> m_next_tick;
  std::uint32_t m_processor_millis;
  peer_monitor m_peers;
  store_path m_store_path;
  direct_store_path m_direct_path;
  store_clock m_store_clock;
  adapter::store_client m_store;      // directly or through a peer
  adapter::store_client m_feed_store; // directly
  adapter::worker_client m_workers;
  adapter::advice_client m_advice_client;
  advice_desk m_advice_desk;
  advice_pool m_advice;
  jobs::queue_table m_queues;
  table_feed m_operator_feed;
  configuration_watch m_configuration;
  std::map<std::string, scheduling::worker_info> m_worker_entries;
  std::set<std::string> m_doubted_workers; // those whose present entry is not valid
  seen_capacities m_capacities;
  layout_keeper m_layout;
  std::vector<std::unique_ptr<partition_owner>> m_partitions; // none before the layout is known
  job_store m_jobs;
  state_desk m_states;
  caller_gateway m_gateway;
  table_feed m_worker_feed;
  table_feed m_owner_feed;
  common::time_point m_feeds_asked{};           // again, after a silence of the store
  common::time_point m_configuration_fetched{}; // when it was last asked for through a peer
  common::time_point m_layout_fetched{};        // when it was last asked for through a peer
  bool m_reads_owners_anew = false;             // the rows of several partitions' owners
  std::set<std::string> m_linked;
  std::uint32_t m_told_strength = 0;
  bool m_follows_workers = false;
  bool m_stopping = false;
};
} // namespace yardhill::node
