// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Serializes an HTTP/1.1 request, head and body, into one string.

#include <string>
#include <string_view>

#include "Http/HttpMessage.h"

namespace yardhill::http
{
inline std::string_view to_text(method verb)
{
  switch (verb)
  {
  case method::post:
    return "POST";
  case method::put:
    return "PUT";
  case method::remove:
    return "DELETE";
  default:
    return "GET";
  }
}

// Overwrites `out`, reusing its allocated capacity.
inline void write_request(std::string& out, const std::string& host, const request& call)
{
  out.assign(to_text(call.verb)).append(" ").append(call.target);
  out.append(" HTTP/1.1\r\nHost: ").append(host);
  for (const auto& [name, value] : call.headers)
    out.append("\r\n").append(name).append(": ").append(value);
  if (!call.body.empty() || call.verb == method::post || call.verb == method::put)
    out.append("\r\nContent-Length: ").append(std::to_string(call.body.size()));
  out.append("\r\n\r\n").append(call.body);
}
} // namespace yardhill::http
