// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The workspaces of the configuration: who may call, with which keys, and how much of the cell the
// jobs of each may use.

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Common/Resources.h"
#include "Jobs/JobSpec.h"

namespace yardhill::jobs
{
struct workspace
{
  std::string name;
  // Its share of the cell when everything is full, in jobs a second; 0: none is stated.
  double weight = 0.0;
  // What its tasks may use at a time, over all workers. 0 in a dimension: no limit.
  common::resources max_running;
};

class workspace_table
{
public:
  // Adds a workspace with its keys. Returns false, and adds nothing, if its name is already there.
  // A key that several workspaces list belongs to the first one.
  bool add(const workspace& added, const std::vector<std::string>& keys);

  // The workspace that the key belongs to; null if there is none. Takes the same time for any
  // number of keys.
  const workspace* find_by_key(std::string_view key) const;
  const workspace* find(const std::string& name) const;
  const std::map<std::string, workspace>& all() const { return m_workspaces; }

private:
  struct key_hash
  {
    using is_transparent = void;
    std::size_t operator()(std::string_view key) const
    {
      return std::hash<std::string_view>{}(key);
    }
  };

  std::map<std::string, workspace> m_workspaces; // by name
  // The name of each key's workspace.
  std::unordered_map<std::string, std::string, key_hash, std::equal_to<>> m_names_by_key;
};

// The first dimension in which `demand` exceeds the limit of a workspace; none if it is within it.
std::optional<common::resource_dimension> excess_over(const common::resources& demand,
                                                      const common::resources& limit);
// Names a step that can never run within the workspace's limit, because one of its tasks or its
// whole gang exceeds it, and why; none if every step can run.
std::optional<std::string> never_within(const workspace& limits, const job_spec& spec);
} // namespace yardhill::jobs
