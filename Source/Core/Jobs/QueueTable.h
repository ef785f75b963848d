// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The configuration in force: the queues that callers reach by host and path, the workspaces that
// may use them, and the limits of both.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Http/ListenerLimits.h"
#include "Jobs/JobSpec.h"
#include "Jobs/Workspaces.h"

namespace yardhill::jobs
{
struct queue_route
{
  std::string name;
  std::string host;
  std::string path_prefix;
  queue_policy policy;
  bool is_public = false; // callers need no key
};

struct queue_table
{
  std::uint64_t version = 0; // 0: no configuration has been received yet
  std::vector<queue_route> routes;
  http::listener_limits limits;
  // None: the cell has no workspaces, and no caller needs a key.
  std::optional<workspace_table> workspaces;

  bool needs_key(const queue_route& route) const { return workspaces && !route.is_public; }
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
