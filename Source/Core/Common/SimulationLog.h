// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The event log of a simulation that runs in virtual time.

#include <chrono>
#include <functional>
#include <string>

namespace yardhill::common
{
// Like open_event_log, but without the rate limit: a simulation writes the lines of a minute of
// virtual time within a second.
void open_simulation_log(const std::string& process);
// Adds the time of `clock` to each line as the field `at_ms`. An empty function ends this.
void set_simulation_clock(std::function<std::chrono::milliseconds()> clock);
} // namespace yardhill::common
