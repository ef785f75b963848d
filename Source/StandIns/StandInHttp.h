// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// HTTP server and timer functions shared by the platform stand-in and the worker stand-in.

#include <functional>
#include <string>

#include <cpprest/http_listener.h>

#include "Common/Time.h"

namespace yardhill::stand_ins
{
using namespace common;

// Listens on 127.0.0.1 from construction to destruction.
class http_server
{
public:
  http_server(std::uint16_t port, std::function<void(const web::http::http_request&)> handler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

private:
  web::http::experimental::listener::http_listener m_listener;
};

// Sends a reply with content type application/json. A caller that has hung up is ignored.
void reply(const web::http::http_request& request, web::http::status_code status,
           const std::string& body);
// Reads the request's body and calls `then` with it. If reading or `then` throws, the request is
// answered with status 400 and the error's message.
void with_body(const web::http::http_request& request,
               std::function<void(const std::string&)> then);
// Calls `then` on a thread of the HTTP library after the delay.
void after(duration delay, std::function<void()> then);
time_point monotonic_now();
} // namespace yardhill::stand_ins
