// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/NodeSettings.h"

#include "Common/FieldReader.h"

namespace yardhill::node
{
namespace
{
using common::endpoint;
using common::field_reader;

constexpr double k_millis_per_core = 1000.0;
constexpr double k_max_cores = 1024.0;
constexpr std::int64_t k_max_partitions = 64;
constexpr std::int64_t k_min_row_bytes = 4096;
constexpr std::int64_t k_max_row_bytes = 1 << 20;
constexpr const char* k_address_format = "an address and a port, such as 10.1.0.13:8161";

endpoint address_field(field_reader& fields, const char* name)
{
  const std::string text = fields.text(name);
  const auto parsed_address = common::endpoint_from(text);
  if (!parsed_address && !text.empty())
    fields.problem(name, "\"" + text + "\" is not an address", k_address_format);
  return parsed_address.value_or(endpoint{});
}

common::duration time_field(field_reader& fields, const char* name, std::int64_t max,
                            common::duration unit)
{
  return fields.integer(name, {1, max}) * unit;
}
} // namespace

std::optional<node_settings> parse_node_settings(const std::string& text, const std::string& file,
                                                 common::problem_list& problems)
{
  const std::size_t before = problems.size();
  const auto parsed = common::parse_with_comments(text, file, problems);
  if (!parsed)
    return std::nullopt;
  field_reader fields(*parsed, file, "", problems);
  node_settings settings;
  settings.name = fields.text("name");
  settings.zone = fields.text("availability_zone");
  settings.callers = address_field(fields, "callers_address");
  settings.ready = address_field(fields, "ready_address");
  settings.store = address_field(fields, "store_address");
  const std::string advice = fields.optional_text("advice_address");
  if (!advice.empty())
    settings.advice = address_field(fields, "advice_address");
  settings.metrics.address = fields.text("own_address");
  settings.metrics.port = static_cast<std::uint16_t>(fields.integer("first_own_port", {1, 65534}));
  settings.peers.address = settings.metrics.address;
  settings.peers.port = static_cast<std::uint16_t>(settings.metrics.port + 1);
  settings.stop_grace = time_field(fields, "stop_grace_s", 3600, std::chrono::seconds{1});
  settings.lease_limit =
      time_field(fields, "lease_limit_ms", 3600000, std::chrono::milliseconds{1});
  settings.status_retention = time_field(fields, "keep_status_s", 864000, std::chrono::seconds{1});
  settings.configuration_limit =
      std::chrono::milliseconds(fields.integer("configuration_limit_ms", {1000, 3600000}, 3000));
  settings.partitions =
      static_cast<std::size_t>(fields.integer("partitions", {0, k_max_partitions}, 0));
  settings.store_row_bytes = static_cast<std::size_t>(
      fields.integer("store_row_bytes", {k_min_row_bytes, k_max_row_bytes}, 65536));
  const double share = fields.number("processor_share", {0.001, k_max_cores}, 1.0);
  const double cores = fields.number("processor_cores", {0.001, k_max_cores}, 1.0);
  settings.processor_millis = static_cast<std::uint32_t>(share * cores * k_millis_per_core);
  fields.finish();
  if (problems.size() > before)
    return std::nullopt;
  return settings;
}
} // namespace yardhill::node
