// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Reads a caller's or operator's request out of its JSON.

#include <string>
#include <variant>

#include "Common/Task.h"
#include "Instance/InstanceEvents.h"

namespace yardhill::gateway
{
using namespace common;

// The request without its number, or the refusal that says what is wrong with it.
std::variant<instance::caller_request, answer> read_submit(const std::string& body);
std::variant<instance::apply_request, answer> read_apply(const std::string& body);
} // namespace yardhill::gateway
