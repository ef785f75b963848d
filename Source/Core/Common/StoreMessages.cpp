// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Common/StoreMessages.h"

#include "Common/EnumNames.h"

namespace yardhill::common
{
namespace
{
constexpr auto k_status_names =
    std::to_array<std::string_view>({"ok", "conflict", "limited", "unavailable", "unclear"});
static_assert(k_status_names.size() == static_cast<std::size_t>(store_status::count));
} // namespace

std::string_view to_text(store_status status)
{
  return name_of(k_status_names, status);
}
} // namespace yardhill::common
