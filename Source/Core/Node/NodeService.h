// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The process of one instance on the platform: connects the core to sockets, clock and signals on
// one event loop.

#include <functional>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "Http/HttpClient.h"
#include "Http/HttpListener.h"
#include "Node/AsioTimekeeper.h"
#include "Node/NodeCore.h"
#include "Node/PeerLinks.h"
#include "Node/ProcessReport.h"

namespace yardhill::node
{
class node_service
{
public:
  // `reread_settings` reads the settings again; it returns none if they are invalid.
  node_service(const node_settings& settings, const std::string& incarnation,
               std::function<std::optional<node_settings>()> reread_settings);
  ~node_service();
  node_service(const node_service&) = delete;
  node_service& operator=(const node_service&) = delete;

  // Runs the event loop; returns after a planned stop.
  void run();

private:
  void wait_for_signal();
  void reload();
  void stop();
  bool stopped(common::time_point now) const;
  void tick();

  node_settings m_settings;
  std::function<std::optional<node_settings>()> m_reread_settings;
  boost::asio::io_context m_io;
  asio_timekeeper m_time;
  common::metrics m_metrics;
  http::http_client m_worker_http;
  http::http_client m_store_http;
  std::optional<http::http_listener> m_callers;
  std::optional<http::http_listener> m_ready;
  std::optional<http::http_listener> m_metrics_page;
  std::optional<peer_links> m_peers;
  node_core m_core;
  process_report m_report;
  boost::asio::signal_set m_signals;
  common::one_shot_timer m_timer;
  std::optional<common::time_point> m_stopping_since;
};
} // namespace yardhill::node
