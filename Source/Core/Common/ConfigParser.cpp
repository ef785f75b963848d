// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Common/ConfigParser.h"

#include <algorithm>
#include <set>
#include <utility>

#include "Common/FieldReader.h"

namespace yardhill::common
{
namespace
{
using nlohmann::json;

constexpr std::int64_t k_max_workers = 10000;
constexpr std::int64_t k_max_port = 65535;
constexpr double k_millis_per_processor = 1000.0;
constexpr double k_max_processors = 1024;
constexpr std::int64_t k_max_accelerators = 64;
constexpr std::int64_t k_max_members = 1000;
constexpr std::int64_t k_max_replicas = 10000;
constexpr std::int64_t k_max_priority = 1000;
constexpr std::int64_t k_max_attempts = 100;
constexpr double k_max_weight = 1000;
constexpr const char* k_allowed_kinds = "interactive, service, gang or batch";

std::int64_t read_processors(field_reader& in, std::optional<double> fallback = std::nullopt)
{
  const double processors = in.number("processors", {0.0, k_max_processors}, fallback);
  return static_cast<std::int64_t>(processors * k_millis_per_processor);
}

void check_name(field_reader& in, const std::string& name)
{
  if (name.find_first_of("/~ \t\n\"") != std::string::npos)
    in.problem("name", "holds a character that separates ids", "a name without / ~ or blanks");
}

std::string read_name(field_reader& in)
{
  std::string name = in.text("name");
  check_name(in, name);
  return name;
}

void read_workers(field_reader& in, zone_config& zone)
{
  const std::string prefix = in.text("prefix");
  const auto count = in.integer("count", {1, k_max_workers});
  const auto per_rack = in.integer("per_rack", {1, k_max_workers}, 8);
  const std::string host = in.text("host");
  const auto first_port = in.integer("first_port", {1, k_max_port});
  worker_config worker;
  worker.capacity.cpu_millis = read_processors(in);
  worker.capacity.memory_mib = in.memory_mib("memory");
  worker.capacity.accelerators = in.integer("accelerators", {0, k_max_accelerators}, 0);
  worker.capacity.slots = in.integer("slots", {1, k_worker_slots}, k_worker_slots);
  worker.capacity.connections =
      in.integer("connections", {1, k_worker_connections}, k_worker_connections);
  in.finish();
  for (std::int64_t index = 0; index < count; ++index)
  {
    const std::int64_t rack = index / per_rack;
    worker.id = worker_id{prefix + "-" + std::to_string(index + 1)};
    worker.rack = rack_id{prefix + "-rack-" + std::to_string(rack + 1)};
    // Spreads the workers of each rack over all partitions, so that every partition survives the
    // loss of any one rack.
    worker.partition = static_cast<std::uint32_t>(index) % zone.partitions;
    worker.address = "http://" + host + ":" + std::to_string(first_port + index);
    zone.workers.push_back(worker);
  }
}

void read_zone(field_reader& in, cell_config& cell)
{
  constexpr std::int64_t max_partitions = 64;
  zone_config zone;
  zone.id = zone_id{read_name(in)};
  zone.partitions = static_cast<std::uint32_t>(in.integer("partitions", {1, max_partitions}, 1));
  for (field_reader& workers : in.objects("workers"))
    read_workers(workers, zone);
  in.finish();
  cell.zones.push_back(std::move(zone));
}

void read_cell(field_reader& in, cell_config& cell)
{
  constexpr double max_headroom = 0.9;
  cell.interactive_headroom =
      in.number("interactive_headroom", {0.0, max_headroom}, cell.interactive_headroom);
  for (field_reader& zone : in.objects("zones"))
    read_zone(zone, cell);
  if (cell.zones.empty())
    in.problem("zones", "names no zone", "at least one zone");
  in.finish();
}

void read_team(field_reader& in, cell_config& cell)
{
  team_config team;
  team.id = team_id{read_name(in)};
  constexpr double min_weight = 0.001;
  team.weight = in.number("weight", {min_weight, k_max_weight}, 1.0);
  if (std::optional<field_reader> quota = in.object("quota", false))
  {
    constexpr double max_quota = 1'000'000;
    team.quota.cpu_millis = static_cast<std::int64_t>(
        quota->number("processors", {0.0, max_quota}) * k_millis_per_processor);
    team.quota.memory_mib = quota->memory_mib("memory");
    team.quota.accelerators = quota->integer("accelerators", {0, k_max_workers}, 0);
    // A quota does not limit slots and connections: both are set to as many as its processors can
    // need.
    team.quota.slots = k_max_workers * k_worker_slots;
    team.quota.connections = k_max_workers * k_worker_connections;
    quota->finish();
  }
  in.finish();
  cell.teams.push_back(std::move(team));
}

task_kind read_kind(field_reader& in)
{
  const std::string name = in.text("kind");
  const std::optional<task_kind> kind = task_kind_from(name);
  if (!kind && !name.empty())
    in.problem("kind", "is \"" + name + "\"", k_allowed_kinds);
  return kind.value_or(task_kind::batch);
}

void check_kind(field_reader& in, const workload_config& workload)
{
  if (workload.kind == task_kind::service)
  {
    if (!workload.repeatable)
      in.problem("repeatable", "is false for a service", "true: a lost replica is replaced");
    if (workload.deadline > duration{0})
      in.problem("deadline", "is given for a service", "no deadline");
  }
  if (workload.kind == task_kind::gang && !workload.repeatable)
    in.problem("repeatable", "is false for a gang",
               "true: members that started before another failed are started again");
}

void read_workload(field_reader& in, cell_config& cell)
{
  workload_config workload;
  workload.id = workload_id{read_name(in)};
  workload.team = team_id{in.text("team")};
  workload.kind = read_kind(in);
  for (const std::string& zone : in.texts("zones"))
    workload.zones.emplace_back(zone);
  workload.demand.cpu_millis = read_processors(in);
  workload.demand.memory_mib = in.memory_mib("memory");
  workload.demand.accelerators = in.integer("accelerators", {0, k_max_accelerators}, 0);
  workload.demand.slots = 1;
  workload.demand.connections = in.integer("connections", {0, k_worker_connections}, 1);
  const bool gang = workload.kind == task_kind::gang;
  const bool service = workload.kind == task_kind::service;
  workload.members =
      gang ? static_cast<std::uint32_t>(in.integer("members", {2, k_max_members})) : 1;
  workload.replicas =
      service ? static_cast<std::uint32_t>(in.integer("replicas", {0, k_max_replicas})) : 0;
  workload.priority =
      static_cast<std::int32_t>(in.integer("priority", {-k_max_priority, k_max_priority}, 0));
  workload.expected_run = in.time_span("expected_run", duration{0}, std::chrono::minutes{1});
  workload.deadline = in.time_span("deadline", duration{0}, duration{0});
  workload.repeatable = in.boolean("repeatable", true);
  workload.max_attempts =
      static_cast<std::uint32_t>(in.integer("max_attempts", {1, k_max_attempts}, 3));
  if (service)
    workload.payload = in.text("payload", "");
  check_kind(in, workload);
  in.finish();
  cell.workloads.push_back(std::move(workload));
}

template<class element>
void check_unique(const std::vector<element>& elements, const char* section, problem_list& problems)
{
  std::set<std::string> names;
  for (const element& entry : elements)
  {
    if (!names.insert(entry.id.value).second)
      problems.push_back(
          {"the set", section, "names \"" + entry.id.value + "\" twice", "each name once"});
  }
}

// `workload_files` names, for each entry of `cell.workloads`, the file that declares it.
void check_references(const cell_config& cell, const std::vector<std::string>& workload_files,
                      problem_list& problems)
{
  check_unique(cell.zones, "zones", problems);
  check_unique(cell.teams, "teams", problems);
  check_unique(cell.workloads, "workloads", problems);
  std::vector<worker_config> workers;
  for (const zone_config& zone : cell.zones)
    workers.insert(workers.end(), zone.workers.begin(), zone.workers.end());
  check_unique(workers, "workers", problems);
  for (std::size_t index = 0; index < cell.workloads.size(); ++index)
  {
    const workload_config& workload = cell.workloads[index];
    const std::string& file = workload_files[index];
    const std::string field = "workloads." + workload.id.value;
    if (cell.find_team(workload.team) == nullptr)
      problems.push_back({file, field + ".team",
                          "names the unknown team \"" + workload.team.value + "\"",
                          "a team of this set"});
    for (const zone_id& zone : workload.zones)
    {
      if (cell.find_zone(zone) == nullptr)
        problems.push_back({file, field + ".zones", "names the unknown zone \"" + zone.value + "\"",
                            "a zone of this set"});
    }
  }
}
} // namespace

std::optional<cell_config> parse_cell_config(const std::vector<loaded_file>& files,
                                             problem_list& problems)
{
  const std::size_t problems_before = problems.size();
  cell_config cell;
  bool has_cell = false;
  std::vector<std::string> workload_files;
  for (const loaded_file& file : files)
  {
    const std::optional<json> document = parse_with_comments(file.text, file.file, problems);
    if (!document)
      continue;
    if (!document->is_object())
    {
      problems.push_back({file.file, "", "is not an object", "an object"});
      continue;
    }
    field_reader in(*document, file.file, "", problems);
    if (std::optional<field_reader> section = in.object("cell", false))
    {
      if (std::exchange(has_cell, true))
        in.problem("cell", "was given by another file already", "one cell in the whole set");
      read_cell(*section, cell);
    }
    for (field_reader& team : in.objects("teams"))
      read_team(team, cell);
    for (field_reader& workload : in.objects("workloads"))
      read_workload(workload, cell);
    workload_files.resize(cell.workloads.size(), file.file);
    for (const std::string& worker : in.texts("drained"))
      cell.drained.emplace_back(worker);
    in.finish();
  }
  if (problems.size() == problems_before)
  {
    if (!has_cell)
      problems.push_back({"the set", "cell", "is missing", "one cell in the whole set"});
    check_references(cell, workload_files, problems);
  }
  if (problems.size() > problems_before)
    return std::nullopt;
  return cell;
}

std::string merge_documents(const std::vector<loaded_file>& files)
{
  json merged = json::object();
  merged["teams"] = json::array();
  merged["workloads"] = json::array();
  problem_list ignored;
  for (const loaded_file& file : files)
  {
    const json document =
        parse_with_comments(file.text, file.file, ignored).value_or(json::object());
    if (document.contains("cell"))
      merged["cell"] = document["cell"];
    if (document.contains("drained"))
      merged["drained"] = document["drained"];
    for (const char* section : {"teams", "workloads"})
    {
      for (const json& entry : document.value(section, json::array()))
        merged[section].push_back(entry);
    }
  }
  return merged.dump();
}

namespace
{
// Turns lists of named entries into objects keyed by name, so that an inserted entry does not show
// up as a change of all entries after it.
json keyed_by_name(const json& value)
{
  if (value.is_object())
  {
    json result = json::object();
    for (const auto& [name, entry] : value.items())
      result[name] = keyed_by_name(entry);
    return result;
  }
  const bool named =
      value.is_array() &&
      std::ranges::all_of(
          value, [](const json& entry)
          { return entry.is_object() && (entry.contains("name") || entry.contains("prefix")); });
  if (!named || value.empty())
    return value;
  json result = json::object();
  for (const json& entry : value)
    result[entry.value("name", entry.value("prefix", ""))] = keyed_by_name(entry);
  return result;
}
} // namespace

std::vector<std::string> differing_fields(const std::string& left, const std::string& right)
{
  problem_list ignored;
  const json before = parse_with_comments(left, "", ignored).value_or(json::object());
  const json after = parse_with_comments(right, "", ignored).value_or(json::object());
  std::vector<std::string> fields;
  for (const json& change : json::diff(keyed_by_name(before), keyed_by_name(after)))
  {
    std::string line = change["path"].get<std::string>() + ": " + change["op"].get<std::string>();
    if (change.contains("value") && change["value"].is_primitive())
      line += " " + change["value"].dump();
    fields.push_back(line);
  }
  return fields;
}
} // namespace yardhill::common
