// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The event log of a play in virtual time.

#include <chrono>
#include <functional>
#include <string>

namespace yardhill::common
{
// Like open_event_log, without a budget: a play writes a minute's lines within a second.
void open_simulation_log(const std::string& process);
// Each line bears this time as `at_ms`, until an empty clock is set.
void set_simulation_clock(std::function<std::chrono::milliseconds()> clock);
} // namespace yardhill::common
