// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The seeds that the explorer's tests play, and what they print of one that fails.

#include <cstdint>
#include <cstdlib>
#include <string>

#include "Model/CellExplorer.h"

namespace yardhill::model
{
// The seeds that CI runs. The environment variable YARDHILL_SEEDS=FIRST,COUNT selects others.
struct seed_range
{
  std::uint64_t first = 1;
  std::uint64_t count = 150;
};

inline seed_range selected_seeds()
{
  seed_range range;
  if (const char* const setting = std::getenv("YARDHILL_SEEDS"))
  {
    const std::string text = setting;
    const std::size_t comma = text.find(',');
    range.first = std::stoull(text.substr(0, comma));
    range.count = std::stoull(text.substr(comma + 1));
  }
  return range;
}

inline std::string failure_text(std::uint64_t seed, const exploration& result)
{
  std::string text = "seed " + std::to_string(seed) + ":";
  for (const std::string& each : result.troubles)
    text += "\n  " + each;
  for (const std::string& each : result.violations)
    text += "\n  " + each;
  return text;
}
} // namespace yardhill::model
