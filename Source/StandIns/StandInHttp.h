// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// What both stand-ins need of the HTTP library.

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

void reply(const web::http::http_request& request, web::http::status_code status,
           const std::string& body);
// Calls back with the body; a request that cannot be handled is answered with what went wrong.
void with_body(const web::http::http_request& request,
               std::function<void(const std::string&)> then);
// Calls back on a library thread once the time has passed.
void after(duration delay, std::function<void()> then);
time_point monotonic_now();
} // namespace yardhill::stand_ins
