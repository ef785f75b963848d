// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The configuration in force: the queues that callers reach by host and path, and their limits.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Http/ListenerLimits.h"
#include "Jobs/JobSpec.h"

namespace yardhill::jobs
{
struct queue_route
{
  std::string name;
  std::string host;
  std::string path_prefix;
  queue_policy policy;
};

struct queue_table
{
  std::uint64_t version = 0; // 0: no configuration has been received yet
  std::vector<queue_route> routes;
  http::listener_limits limits;

  // The route of `host` with the longest path prefix that `path` starts with; null if there is
  // none.
  const queue_route* find(const std::string& host, const std::string& path) const
  {
    const queue_route* best = nullptr;
    for (const queue_route& route : routes)
    {
      if (route.host != host || path.rfind(route.path_prefix, 0) != 0)
        continue;
      if (best == nullptr || route.path_prefix.size() > best->path_prefix.size())
        best = &route;
    }
    return best;
  }
};
} // namespace yardhill::jobs
