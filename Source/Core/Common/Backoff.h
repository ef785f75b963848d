// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Exponential backoff: the pause between retries doubles up to a maximum.

#include <algorithm>
#include <cstdint>

#include "Common/Time.h"

namespace yardhill::common
{
struct backoff
{
  duration first;
  duration most;
  std::uint32_t max_doublings; // bounds the shift in after(), so that it does not overflow

  // The pause after `first` was doubled `doublings` times; never more than `most`.
  duration after(std::uint32_t doublings) const
  {
    return std::min(first * (1U << std::min(doublings, max_doublings)), most);
  }
};
} // namespace yardhill::common
