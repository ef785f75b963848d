// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The declared set that traces without one of their own run on.

#include <cstdint>
#include <string>

#include "Replay/Trace.h"

namespace yardhill::replay
{
// As JSON, with so many replicas of its one service.
std::string built_in_document(const trace_header& header, std::int64_t replicas);
} // namespace yardhill::replay
