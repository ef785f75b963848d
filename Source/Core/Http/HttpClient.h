// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// HTTP calls to any number of peers from one thread, over kept connections.
//
// A call is sent once: it is never repeated behind the caller's back, so that a conditional write
// whose connection broke is reported as unanswered. Calls beyond a peer's connections wait in line.

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
  std::size_t most_connections = 4;  // to one peer
  std::size_t most_waiting = 2000;   // calls in line for one peer; more fail at once
  std::size_t most_body = 16U << 20; // bytes of an answer
};

class http_client : public peer_sender
{
public:
  http_client(boost::asio::io_context& io, const client_options& options);
  ~http_client() override;
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  // `timeout` covers waiting in line, connecting and the answer; of a call that expects a long one,
  // its beginning. `done` is called exactly once, from the event loop.
  void send(const common::endpoint& peer, request call, common::duration timeout,
            reply_handler done) override;
  // Closes the idle connections to a peer that is gone.
  void forget(const common::endpoint& peer);

private:
  class implementation;
  std::shared_ptr<implementation> m_implementation;
};
} // namespace yardhill::http
