// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Common/Hash.h"

#include <xxhash.h>

namespace yardhill::common
{
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed)
{
  return XXH64(text.data(), text.size(), seed);
}
} // namespace yardhill::common
