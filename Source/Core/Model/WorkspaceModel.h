// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The workspaces of a simulated cell as its operator configures them: their keys and limits, now
// and in every earlier configuration.

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "Common/Resources.h"
#include "Model/VirtualTime.h"

namespace yardhill::model
{
class workspace_model
{
public:
  // Some workspaces, one of them without a limit, each with two keys.
  workspace_model(const virtual_time& time, std::uint64_t seed);

  // The workspaces' part of the operator's configuration.
  nlohmann::json configuration() const;
  // The present state is in the configuration that is written now.
  void configured();

  std::vector<std::string> names() const;
  // Changes that the next configuration contains.
  void revoke_random_key();
  void revoke_all_keys(const std::string& workspace);
  // Gives each workspace that has fewer than two keys new ones.
  void add_missing_keys();
  // Multiplies the workspace's original limit.
  void scale_limit(const std::string& workspace, double factor);

  // A key that the workspace has now; empty if it has none.
  std::string present_key(const std::string& workspace) const;
  // A key for a call of the workspace: mostly one that it has now, at times one that it had.
  std::string draw_key(const std::string& workspace);
  // A key that no configuration ever held.
  static std::string unknown_key() { return "key-of-nobody"; }
  // The keys in every configuration that was in force at any time in the interval.
  std::set<std::string> keys_always_valid(time_point from, time_point to) const;
  // The keys in none of them that some earlier configuration had.
  std::set<std::string> keys_revoked(time_point from, time_point to) const;
  // The highest limit of the configurations that were in force at any time in the interval, in each
  // dimension; 0: no limit.
  common::resources highest_limit(const std::string& workspace, time_point from,
                                  time_point to) const;

private:
  struct state
  {
    std::set<std::string> keys;
    common::resources limit;
  };
  using states = std::map<std::string, state>; // by workspace

  std::string new_key(const std::string& workspace);
  static std::set<std::string> keys_of(const states& configured);
  // The configurations in force at any time in the interval, and the first one at least.
  std::vector<const states*> in_force(time_point from, time_point to) const;

  const virtual_time& m_time;
  std::mt19937_64 m_random;
  std::map<std::string, common::resources> m_original_limits;
  states m_present;
  std::map<time_point, states> m_history; // by the time of writing
  std::set<std::string> m_all_keys;
  std::uint64_t m_keys_created = 0;
};
} // namespace yardhill::model
