// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Paths and JSON of the platform's interface: table service, objects and instance list.

#include <string>
#include <vector>

#include "Common/InstanceSettings.h"
#include "Common/StoreMessages.h"

namespace yardhill::platform
{
using namespace common;

// Paths below the platform's base URL. The table paths take POST, the instance list takes GET.
inline constexpr const char* k_read_path = "/table/read";
inline constexpr const char* k_transaction_path = "/table/transaction";
// Followed by the encoded key. PUT and GET transfer the bytes of the object unchanged.
inline constexpr const char* k_objects_path = "/objects/";
inline constexpr const char* k_instances_path = "/instances";
inline constexpr const char* k_caller_header = "Yardhill-Caller";

// An entry of the instance list, which lags behind the actual state. The entry describes an entry
// instance, or a worker that is leaving.
struct listed_instance
{
  std::string name;
  zone_id zone;
  endpoint peer; // port 0 for a worker
  bool leaving = false;
};

// Parsing throws nlohmann::json::exception on malformed text.
std::string to_json_text(const store_read& request);
store_read store_read_from(const std::string& text);
std::string to_json_text(const store_read_result& result);
store_read_result store_read_result_from(const std::string& text);
std::string to_json_text(const store_transaction& request);
store_transaction store_transaction_from(const std::string& text);
std::string to_json_text(const std::vector<listed_instance>& list);
std::vector<listed_instance> instance_list_from(const std::string& text);
} // namespace yardhill::platform
