// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// A hash function whose result is the same on every machine and in every process (XXH64).

#include <cstdint>
#include <string_view>

namespace yardhill::common
{
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);
} // namespace yardhill::common
