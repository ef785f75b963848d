// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Exponential backoff: pauses that double from one try to the next.

#include <algorithm>
#include <cstdint>

#include "Common/Time.h"

namespace yardhill::common
{
struct backoff
{
  duration first;
  duration most;
  std::uint32_t max_doublings; // no more are counted, so that nothing overflows

  // The pause after so many doublings of the first one.
  duration after(std::uint32_t doublings) const
  {
    return std::min(first * (1U << std::min(doublings, max_doublings)), most);
  }
};
} // namespace yardhill::common
