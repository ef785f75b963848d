// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/SchedulerMessages.h"

#include <array>

namespace yardhill::scheduling
{
std::string_view to_text(call_end end)
{
  static constexpr std::array<std::string_view, 10> k_names{
      "done",       "fenced",     "outdated",  "too_late", "no_room",
      "bad_ticket", "other_life", "unhealthy", "rejected", "unanswered"};
  return k_names[static_cast<std::size_t>(end)];
}

std::string_view to_text(run_outcome outcome)
{
  static constexpr std::array<std::string_view, 6> k_names{"done",   "failed", "stopped",
                                                           "lapsed", "broken", "alone"};
  return k_names[static_cast<std::size_t>(outcome)];
}
} // namespace yardhill::scheduling
