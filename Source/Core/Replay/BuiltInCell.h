// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The cell configuration used by traces that name no configuration file.

#include <cstdint>
#include <string>

#include "Replay/Trace.h"

namespace yardhill::replay
{
// Returns the configuration as JSON; `replicas` is the replica count of its only service.
std::string built_in_document(const trace_header& header, std::int64_t replicas);
} // namespace yardhill::replay
