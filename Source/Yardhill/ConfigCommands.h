// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// What the commands that change the configuration share.

#include <cstdint>
#include <string>

#include "Yardhill/InstanceClient.h"

namespace yardhill::cli
{
std::string new_apply_id();
// Applies a whole document made from version `base`, prints the answer, returns the exit code.
int put_config(instance_client& client, std::uint64_t base, const std::string& apply_id,
               const std::string& document, bool as_json);
} // namespace yardhill::cli
