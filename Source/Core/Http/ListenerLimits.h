// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Limits of an HTTP listener. The operator's configuration sets all of them except the number of
// connections.

#include <cstddef>

#include "Common/Time.h"

namespace yardhill::http
{
struct listener_limits
{
  std::size_t max_connections = 1500;
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = 262144;
  common::duration header_timeout = std::chrono::seconds{3};
  common::duration idle_timeout = std::chrono::seconds{15};
};
} // namespace yardhill::http
