// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The links to the other instances: passes events of the peer mesh, which has its own thread, to
// the event loop, and maintains the table by which the instances find each other.

#include <functional>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "Node/TableFeed.h"
#include "Peer/PeerMesh.h"

namespace yardhill::node
{
// One row per instance: the address on which it listens for peers.
inline constexpr const char* k_instances_table = "instances";

struct link_events
{
  // `peer` is the name of the peer's instance.
  std::function<void(const std::string& peer, const std::string& zone)> linked;
  std::function<void(const std::string& peer)> unlinked;
  std::function<void(const std::string& peer, const common::peer_message&)> received;
};

class peer_links
{
public:
  peer_links(boost::asio::io_context& io, common::timekeeper& time, adapter::store_client& store,
             const std::string& name, const std::string& zone, const common::endpoint& own_address,
             link_events events, common::metrics& counts);

  // Writes this instance's row to the table and follows the table.
  void start();
  void send(const std::string& peer, const common::peer_message& message);

private:
  void announce();
  void on_rows(const std::vector<adapter::row>& rows);

  boost::asio::io_context& m_io;
  common::one_shot_timer m_retry_timer;
  adapter::store_client& m_store;
  std::string m_name;
  common::endpoint m_own_address;
  link_events m_events;
  table_feed m_feed;
  peer::peer_mesh m_mesh;
};
} // namespace yardhill::node
