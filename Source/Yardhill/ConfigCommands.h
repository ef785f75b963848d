// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Helpers shared by the subcommands that change the cell's configuration.

#include <cstdint>
#include <string>

#include "Yardhill/InstanceClient.h"

namespace yardhill::cli
{
// A random identifier of 16 hexadecimal digits. An instance recognizes a repeated apply by it.
std::string new_apply_id();
// Replaces the configuration by `document`, which was derived from version `base`. Prints the
// instance's answer, as received if `as_json`, and returns the exit code.
int put_config(instance_client& client, std::uint64_t base, const std::string& apply_id,
               const std::string& document, bool as_json);
} // namespace yardhill::cli
