// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Common/Ids.h"

namespace yardhill::common
{
std::string to_text(const partition_id& partition)
{
  return partition.zone.value + "/" + std::to_string(partition.index);
}

std::string to_text(const attempt_id& attempt)
{
  return attempt.task.value + "#" + std::to_string(attempt.attempt >> 32U) + "-" +
         std::to_string(attempt.attempt & 0xffffffffU) + "." + std::to_string(attempt.member);
}
} // namespace yardhill::common
