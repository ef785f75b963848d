// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The settings file of an instance on the platform: JSON with comments, generated from
// platform/settings.jsonc.template.

#include <optional>
#include <string>
#include <vector>

#include "Common/InstanceSettings.h"
#include "Common/Problem.h"
#include "Common/Time.h"

namespace yardhill::node
{
struct node_settings
{
  std::string name;
  std::string zone;
  common::endpoint callers;
  common::endpoint ready;
  common::endpoint metrics; // first_own_port, the first port reserved for this process
  common::endpoint peers;   // the second reserved port
  common::endpoint store;
  std::optional<common::endpoint> advice;
  common::duration stop_grace = std::chrono::seconds{6};
  common::duration lease_limit = std::chrono::seconds{10};
  common::duration status_retention = std::chrono::seconds{120};
  // The time within which a confirmed configuration is in force.
  common::duration configuration_limit = std::chrono::seconds{3};
  // The number of partitions of a new cell; 0: derived from the cell's size.
  std::size_t partitions = 0;
  // The longest value that the store takes in a row.
  std::size_t store_row_bytes = 65536;
  // Processor time that this instance may use, in thousandths of a core.
  std::uint32_t processor_millis = 1000;
};

// Checks the whole text and adds every mistake to `problems`. Returns none if there is any.
std::optional<node_settings> parse_node_settings(const std::string& text, const std::string& file,
                                                 common::problem_list& problems);
} // namespace yardhill::node
