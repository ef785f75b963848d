// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The settings of one instance: its name and zone, its listeners, its peers and its limits.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/Ids.h"
#include "Common/Options.h"
#include "Common/Problem.h"

namespace yardhill::common
{
struct endpoint
{
  std::string address; // an IP address
  std::uint16_t port = 0;

  bool operator==(const endpoint&) const = default;
};

std::string to_text(const endpoint& value);
// Parses "10.128.0.9:8080"; none if the text is not an address with a port.
std::optional<endpoint> endpoint_from(const std::string& text);

struct peer_setting
{
  std::string name;
  zone_id zone;
  endpoint where;
};

struct instance_settings
{
  std::string name;
  zone_id zone;
  endpoint http;
  endpoint peer;
  std::string platform; // base URL of the table service and the instance list
  std::vector<peer_setting> peers;
  std::size_t threads = 2;           // of the HTTP library
  std::size_t most_body = 1U << 20U; // largest body of a caller's request, in bytes

  std::string log_level = "info";
  core_options core;
};

// Checks the whole text and appends every mistake to `problems`. None if there are mistakes.
std::optional<instance_settings>
parse_instance_settings(const std::string& text, const std::string& file, problem_list& problems);
} // namespace yardhill::common
