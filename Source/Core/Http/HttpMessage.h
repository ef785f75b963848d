// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// HTTP/1.1 messages as the rest of the code sees them, free of the library that carries them.

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Common/Time.h"

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

// How to wait for an answer whose length is not known beforehand.
//
// A bound on the time of the whole answer is wrong where a link is the bottleneck: an answer that
// needs longer is thrown away with all that has come of it, asked for anew and given up again,
// without end. So the call's time-out holds until the answer begins, and from then on the call
// lasts for as long as bytes keep coming.
struct long_reply
{
  common::duration max_pause{}; // between bytes
  std::size_t most_bytes = 0;   // of the body; 0: as the client is set
  std::function<void()> coming; // called each time that bytes have come; may be empty
};

struct request
{
  method verb = method::get;
  std::string target; // path and query
  std::string body;
  header_list headers;
  std::optional<long_reply> expects = std::nullopt; // none: the time-out covers the whole answer
};

struct reply
{
  unsigned status = 0; // 0: no whole answer came
  std::string body;
  std::string failure;   // why no answer came
  bool refused = false;  // no connection could be made, so the peer knows nothing of the call
  bool too_long = false; // answered with more bytes than were expected; the body is empty

  bool answered() const { return status != 0; }
  bool ok() const { return status >= 200 && status < 300; }
};

using reply_handler = std::function<void(reply)>;
} // namespace yardhill::http
