// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// HTTP/1.1 messages as the rest of the code sees them, free of the library that carries them.

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace yardhill::http
{
enum class method
{
  get,
  post,
  put,
  remove,
  other
};

using header_list = std::vector<std::pair<std::string, std::string>>;

struct request
{
  method verb = method::get;
  std::string target; // path and query
  std::string body;
  header_list headers;
};

struct reply
{
  unsigned status = 0; // 0: no whole answer came
  std::string body;
  std::string failure;  // why no answer came
  bool refused = false; // no connection could be made, so the peer knows nothing of the call

  bool answered() const { return status != 0; }
  bool ok() const { return status >= 200 && status < 300; }
};

using reply_handler = std::function<void(reply)>;
} // namespace yardhill::http
