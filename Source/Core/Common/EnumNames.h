// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Converts enum values to names and back with a table of names that is indexed by the enum value.

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>

namespace yardhill::common
{
template<class enum_type, std::size_t size>
constexpr std::string_view name_of(const std::array<std::string_view, size>& names, enum_type value)
{
  return names.at(static_cast<std::size_t>(value));
}

template<class enum_type, std::size_t size>
constexpr std::optional<enum_type> value_of(const std::array<std::string_view, size>& names,
                                            std::string_view name)
{
  const auto found = std::ranges::find(names, name);
  if (found == names.end())
    return std::nullopt;
  return static_cast<enum_type>(found - names.begin());
}
} // namespace yardhill::common
