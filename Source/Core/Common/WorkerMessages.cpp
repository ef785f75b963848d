// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Common/WorkerMessages.h"

#include "Common/EnumNames.h"

namespace yardhill::common
{
namespace
{
constexpr auto k_refusal_names = std::to_array<std::string_view>(
    {"none", "lower_term", "other_boot", "old_ticket", "no_room", "leaving", "already_ran"});
static_assert(k_refusal_names.size() == static_cast<std::size_t>(start_refusal::count));
} // namespace

std::string_view to_text(start_refusal refusal)
{
  return name_of(k_refusal_names, refusal);
}

std::optional<start_refusal> start_refusal_from(std::string_view name)
{
  return value_of<start_refusal>(k_refusal_names, name);
}
} // namespace yardhill::common
