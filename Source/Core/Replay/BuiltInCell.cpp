// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Replay/BuiltInCell.h"

#include "Common/Json.h"

namespace yardhill::replay
{
std::string built_in_document(const trace_header& header, std::int64_t replicas)
{
  json zones = json::array();
  for (std::uint32_t zone = 0; zone < header.zones; ++zone)
  {
    const std::string name(1, static_cast<char>('a' + zone));
    constexpr int first_port = 20000;
    constexpr int ports_per_zone = 1000;
    zones.push_back({{"name", name},
                     {"partitions", header.partitions},
                     {"workers",
                      {{{"prefix", name + "w"},
                        {"count", header.workers},
                        {"per_rack", 2},
                        {"host", "127.0.0.1"},
                        {"first_port", first_port + ports_per_zone * static_cast<int>(zone)},
                        {"processors", 4},
                        {"memory", "8GiB"}}}}});
  }
  const auto workload = [](const char* name, const char* kind, json extra_fields)
  {
    json entry{{"name", name},    {"team", "docs"},   {"kind", kind},
               {"processors", 1}, {"memory", "1GiB"}, {"expected_run", "500ms"}};
    entry.update(extra_fields);
    return entry;
  };
  const json document{
      {"cell", {{"zones", zones}}},
      {"teams", {{{"name", "docs"}}}},
      {"workloads",
       {workload("preview", "interactive", {{"deadline", "20s"}}),
        workload("rebuild", "batch", {{"repeatable", false}}),
        workload("nightly", "batch", json::object()), workload("set", "gang", {{"members", 3}}),
        workload("watcher", "service", {{"replicas", replicas}})}}};
  return document.dump();
}
} // namespace yardhill::replay
