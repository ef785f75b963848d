// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// An HTTP/1.1 server for one address. It runs on the event loop's thread and limits the size of
// requests, the number of connections and the time of each read and write.

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "Common/InstanceSettings.h"
#include "Http/HttpMessage.h"
#include "Http/ListenerLimits.h"

namespace yardhill::http
{
struct incoming_request
{
  method verb = method::other;
  std::string host;
  std::string target;
  std::string body;
  // The values of the headers given to the listener, in its order; empty for one that is missing.
  std::vector<std::string> captured_headers;
};

struct outgoing_reply
{
  unsigned status = 200;
  std::string body;
  std::string content_type = "application/json";
  header_list headers;
  bool close = false; // closes the connection once the reply is sent
};

using responder = std::function<void(outgoing_reply)>;
using request_handler = std::function<void(incoming_request, responder)>;

class http_listener
{
public:
  // Throws boost::system::system_error if listening on the address fails. `captured_headers` are
  // the names of the request headers whose values are passed to the handler.
  http_listener(boost::asio::io_context& io, const common::endpoint& where,
                std::vector<std::string> captured_headers, request_handler handle);
  ~http_listener();
  http_listener(const http_listener&) = delete;
  http_listener& operator=(const http_listener&) = delete;

  // The limits apply to requests whose reading starts after this call.
  void set_limits(const listener_limits& limits);
  // From now on, each connection is closed after its next reply.
  void close_after_replies();
  std::size_t requests_in_flight() const;

private:
  class implementation;
  std::shared_ptr<implementation> m_implementation;
};
} // namespace yardhill::http
