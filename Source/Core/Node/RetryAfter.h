// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Values of the Retry-After header for refused callers.

#include <chrono>
#include <cstdint>
#include <string>

namespace yardhill::node
{
// Callers of the most urgent queues (priority 0) retry after 1 s; all others are spread by the
// job's id over the 2 s after that. So when the store is back, jobs for which somebody is waiting
// are accepted first and are not held up by everything that was refused during the outage.
std::chrono::seconds default_retry_after(std::uint32_t priority, const std::string& id);
// For callers whose job would start `excess` too late: they retry once that much of the backlog is
// worked off, spread over the same time again. Callers of the most urgent queues retry first here
// as well. A caller allows 3 s from its first attempt, so it gives up if the time is longer: a
// shorter time would have it retry in vain, while the backlog is not worked off yet.
std::chrono::seconds retry_after_overload(std::uint32_t priority, const std::string& id,
                                          std::chrono::milliseconds excess);
} // namespace yardhill::node
