// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Asynchronous HTTP calls. The callback of each call runs exactly once, whether it succeeds or
// fails.

#include <functional>
#include <string>

#include <cpprest/http_client.h>

namespace yardhill::common
{
enum class call_end
{
  answered,
  unsent, // no connection was established, so the server has not received the request
  unclear // the server may or may not have received the request
};

struct call_result
{
  call_end end = call_end::unclear;
  int status = 0;   // HTTP status if answered, else 0
  std::string body; // the response body if answered, else the error message
};

using call_done = std::function<void(call_result)>;

// Sends `body` as JSON, or no body if it is empty. `done` is called on a thread of the HTTP
// library.
void call_http(web::http::client::http_client& client, const web::http::method& method,
               const std::string& path, const std::string& body, const call_done& done);

web::http::client::http_client_config client_config(std::chrono::milliseconds timeout);
} // namespace yardhill::common
