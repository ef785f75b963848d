// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Model/WorkspaceModel.h"

#include <algorithm>
#include <iterator>

#include <nlohmann/json.hpp>

#include "platform/WireNames.h"

namespace yardhill::model
{
namespace
{
using nlohmann::json;
namespace wire = adapter::wire;

constexpr std::size_t k_keys_per_workspace = 2;
// One in this many calls uses a key that may be revoked.
constexpr std::uint64_t k_old_key_odds = 8;

common::resources limits(std::int64_t cpu_millis, std::int64_t memory_mib)
{
  common::resources limit;
  limit.cpu_millis = cpu_millis;
  limit.memory_mib = memory_mib;
  return limit;
}

std::int64_t higher_limit(std::int64_t left, std::int64_t right)
{
  return left == 0 || right == 0 ? 0 : std::max(left, right);
}
} // namespace

workspace_model::workspace_model(const virtual_time& time, std::uint64_t seed)
    : m_time(time),
      m_random(seed),
      m_original_limits{{"handbooks", limits(18000, 0)},
                        {"manuals", limits(30000, 1800)},
                        {"samples", limits(0, 0)}}
{
  for (const auto& [name, limit] : m_original_limits)
    m_present[name].limit = limit;
  add_missing_keys();
}

std::string workspace_model::new_key(const std::string& workspace)
{
  std::string key = workspace + "-key-" + std::to_string(++m_keys_created);
  m_all_keys.insert(key);
  return key;
}

json workspace_model::configuration() const
{
  json list = json::array();
  for (const auto& [name, each] : m_present)
    list.push_back({{wire::k_name, name},
                    {wire::k_keys, each.keys},
                    {wire::k_weight, 5},
                    {wire::k_max_running,
                     {{wire::k_cpu, each.limit.cpu_millis},
                      {wire::k_memory, each.limit.memory_mib},
                      {wire::k_accelerators, each.limit.accelerators}}}});
  return list;
}

void workspace_model::configured()
{
  m_history[m_time.now()] = m_present;
}

std::vector<std::string> workspace_model::names() const
{
  std::vector<std::string> names;
  for (const auto& [name, each] : m_present)
    names.push_back(name);
  return names;
}

void workspace_model::revoke_random_key()
{
  const std::vector<std::string> all = names();
  std::set<std::string>& keys = m_present[all[m_random() % all.size()]].keys;
  if (!keys.empty())
    keys.erase(std::next(keys.begin(), static_cast<std::ptrdiff_t>(m_random() % keys.size())));
}

void workspace_model::revoke_all_keys(const std::string& workspace)
{
  m_present[workspace].keys.clear();
}

void workspace_model::add_missing_keys()
{
  for (auto& [name, each] : m_present)
  {
    while (each.keys.size() < k_keys_per_workspace)
      each.keys.insert(new_key(name));
  }
}

void workspace_model::scale_limit(const std::string& workspace, double factor)
{
  m_present[workspace].limit = common::scaled(m_original_limits[workspace], factor);
}

std::string workspace_model::present_key(const std::string& workspace) const
{
  const std::set<std::string>& keys = m_present.at(workspace).keys;
  return keys.empty() ? std::string() : *keys.begin();
}

std::string workspace_model::draw_key(const std::string& workspace)
{
  const std::set<std::string>& present = m_present[workspace].keys;
  std::vector<std::string> keys(present.begin(), present.end());
  if (keys.empty() || m_random() % k_old_key_odds == 0)
  {
    const auto is_own = [&workspace](const std::string& key) { return key.starts_with(workspace); };
    std::copy_if(m_all_keys.begin(), m_all_keys.end(), std::back_inserter(keys), is_own);
  }
  return keys[m_random() % keys.size()];
}

std::set<std::string> workspace_model::keys_of(const states& configured)
{
  std::set<std::string> keys;
  for (const auto& [name, each] : configured)
    keys.insert(each.keys.begin(), each.keys.end());
  return keys;
}

std::vector<const workspace_model::states*> workspace_model::in_force(time_point from,
                                                                      time_point to) const
{
  std::vector<const states*> found;
  auto first = m_history.upper_bound(from);
  if (first != m_history.begin())
    --first;
  for (auto each = first; each != m_history.end() && (found.empty() || each->first <= to); ++each)
    found.push_back(&each->second);
  return found;
}

std::set<std::string> workspace_model::keys_always_valid(time_point from, time_point to) const
{
  std::set<std::string> valid = m_all_keys;
  for (const states* const each : in_force(from, to))
  {
    const std::set<std::string> keys = keys_of(*each);
    std::erase_if(valid, [&keys](const std::string& key) { return !keys.contains(key); });
  }
  return valid;
}

std::set<std::string> workspace_model::keys_revoked(time_point from, time_point to) const
{
  std::set<std::string> revoked;
  for (auto each = m_history.begin(); each != m_history.end() && each->first <= from; ++each)
    revoked.merge(keys_of(each->second));
  for (const states* const each : in_force(from, to))
  {
    for (const std::string& key : keys_of(*each))
      revoked.erase(key);
  }
  return revoked;
}

common::resources workspace_model::highest_limit(const std::string& workspace, time_point from,
                                                 time_point to) const
{
  common::resources highest;
  bool first = true;
  for (const states* const each : in_force(from, to))
  {
    const common::resources& limit = each->at(workspace).limit;
    highest.cpu_millis =
        first ? limit.cpu_millis : higher_limit(highest.cpu_millis, limit.cpu_millis);
    highest.memory_mib =
        first ? limit.memory_mib : higher_limit(highest.memory_mib, limit.memory_mib);
    highest.accelerators =
        first ? limit.accelerators : higher_limit(highest.accelerators, limit.accelerators);
    first = false;
  }
  return highest;
}
} // namespace yardhill::model
