// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Common/Resources.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace yardhill::common
{
namespace
{
struct dimension_entry
{
  resource_dimension dimension;
  std::string_view name;
  std::int64_t resources::*member;
};

constexpr std::array<dimension_entry, 5> k_dimensions{{
    {resource_dimension::processors, "processors", &resources::cpu_millis},
    {resource_dimension::memory, "memory", &resources::memory_mib},
    {resource_dimension::accelerators, "accelerators", &resources::accelerators},
    {resource_dimension::slots, "slots", &resources::slots},
    {resource_dimension::connections, "connections", &resources::connections},
}};
} // namespace

std::string_view to_text(resource_dimension dimension)
{
  return k_dimensions.at(static_cast<std::size_t>(dimension)).name;
}

std::optional<resource_dimension> resources::first_excess(const resources& available) const
{
  for (const dimension_entry& entry : k_dimensions)
  {
    if (this->*entry.member > available.*entry.member)
      return entry.dimension;
  }
  return std::nullopt;
}

resources scaled(const resources& amount, double factor)
{
  resources result;
  for (const dimension_entry& entry : k_dimensions)
    result.*entry.member = std::llround(static_cast<double>(amount.*entry.member) * factor);
  return result;
}

resources elementwise_max(const resources& left, const resources& right)
{
  resources result;
  for (const dimension_entry& entry : k_dimensions)
    result.*entry.member = std::max(left.*entry.member, right.*entry.member);
  return result;
}

double dominant_share(const resources& part, const resources& whole)
{
  double share = 0;
  for (const dimension_entry& entry : k_dimensions)
  {
    const auto total = static_cast<double>(whole.*entry.member);
    if (total > 0)
      share = std::max(share, static_cast<double>(part.*entry.member) / total);
  }
  return share;
}

resources largest(const resources& left, const resources& right)
{
  resources result;
  for (const dimension_entry& each : k_dimensions)
    result.*each.member = std::max(left.*each.member, right.*each.member);
  return result;
}
} // namespace yardhill::common
