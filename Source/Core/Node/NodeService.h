// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The process of one instance on the platform: feeds, partitions, listeners and signals around one
// event loop.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Node/CallerGateway.h"
#include "Node/NodeSettings.h"
#include "Node/PartitionOwner.h"
#include "Node/PeerLinks.h"
#include "Node/StorePath.h"
#include "platform/AdviceClient.h"

namespace yardhill::node
{
class node_service
{
public:
  // `reread` gives the settings anew, or nothing if they are wrong.
  node_service(const node_settings& settings, const std::string& life,
               std::function<std::optional<node_settings>()> reread);
  ~node_service();
  node_service(const node_service&) = delete;
  node_service& operator=(const node_service&) = delete;

  // Returns after a planned stop.
  void run();

private:
  void start_feeds();
  void on_operator_rows(const std::vector<adapter::row>& rows);
  void on_worker_rows(const std::vector<adapter::row>& rows, bool all);
  void on_owner_rows(const std::vector<adapter::row>& rows);
  void remove_worker(const std::string& id);
  link_events on_links();
  bool ready() const;
  void wait_for_signal();
  void reload();
  void stop();
  bool stopped(common::time_point now) const;
  void tick();

  node_settings m_settings;
  std::function<std::optional<node_settings>()> m_reread;
  boost::asio::io_context m_io;
  common::metrics m_metrics;
  http::http_client m_worker_http;
  http::http_client m_store_http;
  store_path m_store_path;
  direct_store_path m_direct_path;
  adapter::store_client m_store;      // directly or through a peer
  adapter::store_client m_feed_store; // directly
  adapter::worker_client m_workers;
  adapter::advice_client m_advice_client;
  advice_desk m_advice_desk;
  advice_pool m_advice;
  jobs::queue_table m_queues;
  std::map<std::string, scheduling::worker_info> m_worker_entries;
  std::vector<std::unique_ptr<partition_owner>> m_partitions;
  job_store m_jobs;
  caller_gateway m_gateway;
  std::optional<http::http_listener> m_callers;
  std::optional<http::http_listener> m_ready;
  std::optional<http::http_listener> m_metrics_page;
  std::optional<peer_links> m_peers;
  std::optional<table_feed> m_operator_feed;
  std::optional<table_feed> m_worker_feed;
  std::optional<table_feed> m_owner_feed;
  boost::asio::signal_set m_signals;
  boost::asio::steady_timer m_timer;
  std::optional<common::time_point> m_stopping_since;
};
} // namespace yardhill::node
