// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Generates traces of random requests and faults from a seed, to be run in a virtual cell.

#include <cstdint>

#include "Replay/Trace.h"

namespace yardhill::replay
{
// Requests and faults occur for `fault_period` of virtual time. Then all faults are repaired and
// all keyed requests are sent once more: each must get a final answer, the same as before.
trace generate_trace(std::uint64_t seed, duration fault_period);
} // namespace yardhill::replay
