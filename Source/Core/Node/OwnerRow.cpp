// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/OwnerRow.h"

#include <nlohmann/json.hpp>

namespace yardhill::node
{
using nlohmann::json;

namespace
{
constexpr const char* k_counted_at_ms = "counted_at";
constexpr const char* k_over_ms = "over_ms";
constexpr const char* k_born_ms = "born_ms";
constexpr const char* k_earlier_orders_end_ms = "earlier_orders_end_ms";
constexpr const char* k_largest = "largest";
constexpr const char* k_labels = "labels";
constexpr const char* k_start_waits_ms = "start_waits_ms";

using capacities_by_service = std::map<std::string, std::vector<common::resources>>;

json json_of(const capacities_by_service& largest)
{
  json out = json::object();
  for (const auto& [service, capacities] : largest)
  {
    for (const common::resources& each : capacities)
      out[service].push_back({each.cpu_millis, each.memory_mib, each.accelerators});
  }
  return out;
}

capacities_by_service capacities_from(const json& in)
{
  capacities_by_service largest;
  for (const auto& [service, capacities] : in.items())
  {
    for (const json& each : capacities)
    {
      common::resources capacity;
      capacity.cpu_millis = each.at(0).get<std::int64_t>();
      capacity.memory_mib = each.at(1).get<std::int64_t>();
      capacity.accelerators = each.at(2).get<std::int64_t>();
      largest[service].push_back(capacity);
    }
  }
  return largest;
}
} // namespace

std::string to_row_text(const owner_row& row)
{
  json out{{"holder", row.holder},    {"life", row.life},       {"epoch", row.epoch},
           {"renewal", row.renewal},  {"pending", row.pending}, {"waiting_cpu", row.waiting_cpu},
           {"free_cpu", row.free_cpu}};
  if (!row.largest.empty())
    out[k_largest] = json_of(row.largest);
  if (!row.labels.empty())
    out[k_labels] = row.labels;
  if (row.counted_at)
    out[k_counted_at_ms] = row.counted_at->time_since_epoch().count();
  for (const auto& [priority, wait] : row.start_waits)
    out[k_start_waits_ms].push_back({priority, wait.count()});
  if (row.earlier_orders_end)
    out[k_earlier_orders_end_ms] = row.earlier_orders_end->time_since_epoch().count();
  return out.dump();
}

common::result<owner_row> owner_row_from(const std::string& text)
{
  return common::parsed("read_owner_row", "store",
                        [&text]
                        {
                          const json in = json::parse(text);
                          owner_row row;
                          row.holder = in.at("holder").get<std::string>();
                          row.life = in.at("life").get<std::string>();
                          row.epoch = in.at("epoch").get<std::uint64_t>();
                          row.renewal = in.at("renewal").get<std::uint64_t>();
                          row.pending = in.value("pending", row.pending);
                          if (in.contains(k_counted_at_ms))
                            row.counted_at = adapter::store_time(
                                std::chrono::milliseconds(in[k_counted_at_ms].get<std::int64_t>()));
                          row.waiting_cpu = in.value("waiting_cpu", std::int64_t{0});
                          row.free_cpu = in.value("free_cpu", std::int64_t{0});
                          if (in.contains(k_largest))
                            row.largest = capacities_from(in[k_largest]);
                          row.labels = in.value(k_labels, row.labels);
                          for (const json& each : in.value(k_start_waits_ms, json::array()))
                            row.start_waits[each.at(0).get<std::uint32_t>()] =
                                std::chrono::milliseconds(each.at(1).get<std::int64_t>());
                          if (in.contains(k_earlier_orders_end_ms))
                            row.earlier_orders_end = adapter::store_time(std::chrono::milliseconds(
                                in.at(k_earlier_orders_end_ms).get<std::int64_t>()));
                          return row;
                        });
}

adapter::row_key layout_key()
{
  return {k_owners_table, k_whole_cell, k_layout_key};
}

std::string to_row_text(const layout_row& row)
{
  return json{{"partitions", row.partitions}}.dump();
}

common::result<layout_row> layout_row_from(const std::string& text)
{
  return common::parsed("read_layout_row", "store",
                        [&text]
                        {
                          const auto partitions =
                              json::parse(text).at("partitions").get<std::size_t>();
                          if (partitions == 0)
                            throw std::invalid_argument("a cell has at least one partition, not 0");
                          return layout_row{partitions};
                        });
}

std::string to_row_text(const commit_row& row)
{
  return json{{"life", row.life}, {"number", row.number}}.dump();
}

std::string to_row_text(const scheduling::worker_claim& claim, const store_clock& clock)
{
  json out{{"address", claim.address.address}, {"port", claim.address.port}, {"zone", claim.zone}};
  if (claim.born)
    out[k_born_ms] = claim.born->time_since_epoch().count();
  if (const auto over = claim.over ? clock.latest_at(*claim.over) : std::nullopt)
    out[k_over_ms] = over->time_since_epoch().count();
  if (!claim.closed)
    return out.dump();
  out["tasks"] = json::array();
  for (const scheduling::task_ref& task : claim.tasks)
    out["tasks"].push_back({task.job, task.place.cycle, task.place.step, task.place.index});
  return out.dump();
}

common::result<scheduling::worker_claim> worker_claim_from(const std::string& text,
                                                           const store_clock& clock)
{
  return common::parsed(
      "read_worker_claim", "store",
      [&text, &clock]
      {
        const json in = json::parse(text);
        scheduling::worker_claim claim;
        claim.address = {in.at("address").get<std::string>(), in.at("port").get<std::uint16_t>()};
        claim.zone = in.value("zone", std::string());
        claim.closed = in.contains("tasks");
        if (in.contains(k_born_ms))
          claim.born = scheduling::incarnation_start(
              std::chrono::milliseconds(in.at(k_born_ms).get<std::int64_t>()));
        if (in.contains(k_over_ms))
          claim.over = clock.latest_time_at(
              adapter::store_time(std::chrono::milliseconds(in.at(k_over_ms).get<std::int64_t>())));
        for (const json& task : in.value("tasks", json::array()))
          claim.tasks.push_back({task.at(0), {task.at(1), task.at(2), task.at(3)}});
        return claim;
      });
}

std::string to_row_text(const common::endpoint& address)
{
  return json{{"address", address.address}, {"port", address.port}}.dump();
}

common::result<common::endpoint> address_from(const std::string& text)
{
  return common::parsed("read_address", "store",
                        [&text]
                        {
                          const json in = json::parse(text);
                          return common::endpoint{in.at("address").get<std::string>(),
                                                  in.at("port").get<std::uint16_t>()};
                        });
}

common::result<commit_row> commit_row_from(const std::string& text)
{
  return common::parsed(
      "read_commit_row", "store",
      [&text]
      {
        const json in = json::parse(text);
        return commit_row{in.at("life").get<std::string>(), in.at("number").get<std::uint64_t>()};
      });
}
} // namespace yardhill::node
