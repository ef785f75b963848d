// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Decision/TaskRecord.h"

#include <algorithm>

#include "Common/EnumNames.h"

namespace yardhill::decision
{
namespace
{
constexpr auto k_phase_names = std::to_array<std::string_view>(
    {"storing", "held", "delayed", "queued", "intending", "active", "ended"});
static_assert(k_phase_names.size() == static_cast<std::size_t>(task_phase::ended) + 1);
} // namespace

std::string_view to_text(task_phase phase)
{
  return name_of(k_phase_names, phase);
}

bool task_record::all_members_ended() const
{
  return std::ranges::all_of(
      members, [](const member_run& member)
      { return member.phase == member_phase::ended || member.phase == member_phase::idle; });
}
} // namespace yardhill::decision
