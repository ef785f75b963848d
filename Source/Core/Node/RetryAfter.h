// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// When a refused caller should come back.

#include <chrono>
#include <cstdint>
#include <string>

namespace yardhill::node
{
// Callers of the most urgent queues (priority 0) after a second, the others over the two seconds
// after that, spread by the job's id: when the store is back, what somebody waits for is taken in
// first and is not held up by everything that was refused meanwhile.
std::chrono::seconds default_retry_after(std::uint32_t priority, const std::string& id);
// Callers that an overloaded owner could not serve in time, `excess` too late: once so much of the
// backlog is worked off, spread over as long again; the most urgent ones first here as well.
std::chrono::seconds retry_after_overload(std::uint32_t priority, const std::string& id,
                                          std::chrono::milliseconds excess);
} // namespace yardhill::node
