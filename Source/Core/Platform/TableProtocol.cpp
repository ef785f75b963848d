// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Platform/TableProtocol.h"

#include "Common/Json.h"

namespace yardhill::common
{
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(store_row, key, version, value)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(row_check, key, version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(store_read, prefix, after, limit, keys_only)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(endpoint, address, port)

// A put without a value deletes the row.
static void to_json(json& out, const row_put& put)
{
  out["key"] = put.key;
  if (put.value)
    out["value"] = *put.value;
}

static void from_json(const json& in, row_put& put)
{
  in.at("key").get_to(put.key);
  if (in.contains("value"))
    put.value = in["value"].get<std::string>();
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(store_transaction, checks, puts)
} // namespace yardhill::common

namespace yardhill::platform
{
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(listed_instance, name, zone, peer, leaving)

std::string to_json_text(const store_read& request)
{
  return json(request).dump();
}

store_read store_read_from(const std::string& text)
{
  return json::parse(text).get<store_read>();
}

std::string to_json_text(const store_read_result& result)
{
  return json{{"rows", result.rows}, {"more", result.more}}.dump();
}

store_read_result store_read_result_from(const std::string& text)
{
  const json in = json::parse(text);
  store_read_result result;
  result.status = store_status::ok;
  in.at("rows").get_to(result.rows);
  in.at("more").get_to(result.more);
  return result;
}

std::string to_json_text(const store_transaction& request)
{
  return json(request).dump();
}

store_transaction store_transaction_from(const std::string& text)
{
  return json::parse(text).get<store_transaction>();
}

std::string to_json_text(const std::vector<listed_instance>& list)
{
  return json(list).dump();
}

std::vector<listed_instance> instance_list_from(const std::string& text)
{
  return json::parse(text).get<std::vector<listed_instance>>();
}
} // namespace yardhill::platform
