// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// One HTTP call that is called back exactly once, whatever becomes of it.

#include <functional>
#include <string>

#include <cpprest/http_client.h>

namespace yardhill::common
{
enum class call_end
{
  answered,
  unsent, // no connection could be made, so the other side knows nothing of it
  unclear
};

struct call_result
{
  call_end end = call_end::unclear;
  int status = 0; // HTTP status, when answered
  std::string body;
};

using call_done = std::function<void(call_result)>;

// Sends `body` as JSON (or nothing when it is empty). `done` comes on a library thread.
void call_http(web::http::client::http_client& client, const web::http::method& method,
               const std::string& path, const std::string& body, const call_done& done);

web::http::client::http_client_config client_config(std::chrono::milliseconds timeout);
} // namespace yardhill::common
