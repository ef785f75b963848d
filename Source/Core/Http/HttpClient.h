// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// HTTP client for any number of peers on one event loop thread, with persistent connections.
//
// Each call is sent at most once. The client never retries a call on its own, so that a conditional
// write whose connection broke is reported as unanswered. Calls that exceed a peer's connection
// limit wait in a queue.

#include <cstddef>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "Common/InstanceSettings.h"
#include "Common/Time.h"
#include "Http/RequestSender.h"

namespace yardhill::http
{
struct client_options
{
  std::size_t max_connections = 4;        // to one peer
  std::size_t max_waiting = 2000;         // queued calls to one peer; further calls fail at once
  std::size_t max_body_bytes = 16U << 20; // of a reply
};

class http_client : public peer_sender
{
public:
  http_client(boost::asio::io_context& io, const client_options& options);
  ~http_client() override;
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  // `timeout` covers queueing, connecting and receiving the whole reply. For a call with
  // `expects` set, it ends once the reply's first bytes have been parsed. `done` is called exactly
  // once, from the event loop.
  void send(const common::endpoint& peer, request call, common::duration timeout,
            reply_handler done) override;
  // Closes the idle connections to a peer that no longer exists.
  void forget(const common::endpoint& peer);

private:
  class implementation;
  std::shared_ptr<implementation> m_implementation;
};
} // namespace yardhill::http
