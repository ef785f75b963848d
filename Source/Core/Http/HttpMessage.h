// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// HTTP/1.1 messages in a form that is independent of the HTTP library.

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

// How to wait for a reply whose length is not known beforehand.
//
// A timeout for the whole reply fails where a link is the bottleneck: a reply that takes longer is
// discarded with all the bytes received so far, requested again and discarded again, without end.
// Therefore the call's timeout only applies until the reply starts; after that the call continues
// for as long as bytes keep arriving.
struct long_reply
{
  common::duration max_pause{}; // longest time without new bytes
  std::size_t most_bytes = 0;   // limit of the body; 0: the client's own limit
  std::function<void()> coming; // called whenever bytes have arrived; may be empty
};

struct request
{
  method verb = method::get;
  std::string target; // path and query
  std::string body;
  header_list headers;
  std::optional<long_reply> expects = std::nullopt; // none: the timeout covers the whole reply
};

struct reply
{
  unsigned status = 0; // 0: no complete reply arrived
  std::string body;
  std::string failure;   // why no reply arrived
  bool refused = false;  // no connection could be made, so the peer did not get the call
  bool too_long = false; // the body exceeds `most_bytes` of the call and is left empty

  bool answered() const { return status != 0; }
  bool ok() const { return status >= 200 && status < 300; }
};

using reply_handler = std::function<void(reply)>;
} // namespace yardhill::http
