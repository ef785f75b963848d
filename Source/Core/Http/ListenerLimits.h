// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Bounds of an HTTP listener. The operator's configuration sets all but the connections.

#include <cstddef>

#include "Common/Time.h"

namespace yardhill::http
{
struct listener_limits
{
  std::size_t most_connections = 1500;
  std::size_t most_header = 16384; // bytes
  std::size_t most_body = 262144;  // bytes
  common::duration header_timeout = std::chrono::seconds{3};
  common::duration idle_timeout = std::chrono::seconds{15};
};
} // namespace yardhill::http
