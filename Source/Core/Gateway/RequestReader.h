// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Parses the JSON requests of callers and operators.

#include <string>
#include <variant>

#include "Common/Task.h"
#include "Instance/InstanceEvents.h"

namespace yardhill::gateway
{
using namespace common;

// Each returns the request, with its number unset, or a refusal whose detail lists the problems.
std::variant<instance::caller_request, answer> read_submit(const std::string& body);
std::variant<instance::apply_request, answer> read_apply(const std::string& body);
} // namespace yardhill::gateway
