// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// yardhill replay: a recorded trace through the decision cores, in virtual time.

#include <algorithm>
#include <cstdio>
#include <map>

#include <docopt/docopt.h>
#include <nlohmann/json.hpp>

#include "Common/ConfigParser.h"
#include "Common/EnumNames.h"
#include "Replay/BuiltInCell.h"
#include "Replay/VirtualCell.h"
#include "Yardhill/Files.h"
#include "Yardhill/Subcommands.h"

namespace yardhill::cli
{
namespace
{
using nlohmann::json;
using namespace common;

constexpr const char* k_usage =
    R"(Feed a recorded trace to the decision cores in virtual time; print outcomes and measures.

Usage:
  yardhill replay [options] <trace> [<file>...]

The files declare the cell; without them the trace's built-in one is used.

Options:
  --policy NAME        yardhill, first-fit or least-loaded [default: yardhill]
  --partitions N       cut each zone into so many partitions
  --no-headroom        keep nothing free for interactive work
  --no-preemption      never checkpoint batch work for urgent work
  --declared           believe declared run times instead of learned ones
  --commit-each        write every record by itself instead of grouping them
  --check              check after every step what must always hold
  --json               print the figures as JSON
  --log                print what happens

Exit codes: 0 done; 1 something that must hold does not, the first such thing is printed.
)";

const decision::placement_policy& policy_named(const std::string& name)
{
  for (const decision::placement_policy* policy :
       {&decision::k_yardhill_policy, &decision::k_first_fit_policy,
        &decision::k_least_loaded_policy})
  {
    if (name == policy->name)
      return *policy;
  }
  throw std::runtime_error("there is no policy \"" + name + "\"");
}

std::string document_for(const replay::trace& recorded,
                         const std::map<std::string, docopt::value>& parsed)
{
  constexpr std::int64_t replicas = 2;
  const std::vector<std::string> paths = parsed.at("<file>").asStringList();
  json document = json::parse(paths.empty() ? replay::built_in_document(recorded.header, replicas)
                                            : merge_documents(read_files(paths)));
  if (parsed.at("--partitions"))
  {
    for (json& zone : document["cell"]["zones"])
      zone["partitions"] = std::stoi(parsed.at("--partitions").asString());
  }
  return document.dump();
}

replay::cell_options options_from(const std::map<std::string, docopt::value>& parsed)
{
  replay::cell_options options;
  options.policy = &policy_named(parsed.at("--policy").asString());
  options.check = parsed.at("--check").asBool();
  scheduling_options& scheduling = options.core.scheduling;
  const bool baseline = options.policy->first_in_first_out;
  scheduling.keep_headroom = !parsed.at("--no-headroom").asBool() && !baseline;
  scheduling.preempt = !parsed.at("--no-preemption").asBool() && !baseline;
  scheduling.learn = !parsed.at("--declared").asBool() && !baseline;
  if (parsed.at("--commit-each").asBool())
    options.core.ownership.most_batch = 1;
  if (parsed.at("--log").asBool())
    options.log = [](time_point at, const std::string& who, const std::string& what)
    {
      std::printf("%12lld %s %s\n", static_cast<long long>(at.time_since_epoch().count()),
                  who.c_str(), what.c_str());
    };
  return options;
}

struct kind_figures
{
  std::vector<std::int64_t> waits_us;
  std::map<std::string, std::size_t> outcomes;
  std::size_t sent = 0;
  std::size_t missed = 0; // deadlines
};

std::map<std::string, kind_figures> figures_by_kind(const replay::virtual_cell& cell)
{
  std::map<std::string, kind_figures> kinds;
  for (const auto& [number, request] : cell.checker().requests())
  {
    kind_figures& kind = kinds[std::string(to_text(request.kind))];
    ++kind.sent;
    const time_point started = cell.checker().first_start_of(request.task);
    if (!request.task.empty() && started != k_never && started >= request.sent)
      kind.waits_us.push_back((started - request.sent).count());
    const std::string outcome =
        request.reply ? std::string(to_text(request.reply->result)) : "none";
    ++kind.outcomes[outcome];
    const bool missed =
        request.reply && (request.reply->reason == refusal_reason::deadline_passed ||
                          request.reply->reason == refusal_reason::deadline_too_near);
    kind.missed += missed ? 1 : 0;
  }
  return kinds;
}

double quantile_ms(std::vector<std::int64_t>& waits_us, double quantile)
{
  if (waits_us.empty())
    return 0;
  std::ranges::sort(waits_us);
  const auto rank = static_cast<std::size_t>(quantile * static_cast<double>(waits_us.size() - 1));
  constexpr double us_per_ms = 1000;
  return static_cast<double>(waits_us[rank]) / us_per_ms;
}

json collect(const replay::virtual_cell& cell)
{
  json out;
  std::size_t tasks = 0;
  for (auto& [name, kind] : figures_by_kind(cell))
  {
    tasks += kind.sent;
    out["kinds"][name] = {{"sent", kind.sent},
                          {"started", kind.waits_us.size()},
                          {"outcomes", kind.outcomes},
                          {"missed_deadlines", kind.missed},
                          {"wait_p50_ms", quantile_ms(kind.waits_us, 0.5)},
                          {"wait_p99_ms", quantile_ms(kind.waits_us, 0.99)},
                          {"wait_max_ms", quantile_ms(kind.waits_us, 1.0)}};
  }
  const auto packing = cell.packing();
  out["packing"] = {{"processors", packing.processors},
                    {"memory", packing.memory},
                    {"peak_processors", packing.peak_processors},
                    {"scarcest_while_backlogged", packing.backlogged},
                    {"backlogged_seconds", packing.backlogged_samples},
                    {"most_queued", packing.most_queued}};
  const double each = 1.0 / static_cast<double>(std::max<std::size_t>(1, tasks));
  const replay::table_load& load = cell.table().load();
  const auto starts = static_cast<double>(cell.counts().value(counter::attempts_started));
  constexpr double thousand = 1000;
  out["control"] = {{"tasks", tasks},
                    {"store_writes_per_task", static_cast<double>(load.writes) * each},
                    {"store_rows_per_task", static_cast<double>(load.rows) * each},
                    {"store_reads_per_task", static_cast<double>(load.reads) * each},
                    {"store_limited", load.limited},
                    {"steps_per_task", static_cast<double>(cell.steps()) * each},
                    {"preemptions", cell.counts().value(counter::preemptions)},
                    {"core_ms_per_1000_starts",
                     std::chrono::duration<double, std::milli>(cell.core_time()).count() *
                         thousand / std::max(1.0, starts)}};
  return out;
}

void print_table(const json& figures)
{
  std::printf("%-12s %7s %8s %11s %11s %11s %7s  outcomes\n", "kind", "sent", "started", "wait p50",
              "wait p99", "wait max", "missed");
  for (const auto& [name, kind] : figures["kinds"].items())
    std::printf("%-12s %7zu %8zu %8.1f ms %8.1f ms %8.1f ms %7zu  %s\n", name.c_str(),
                kind["sent"].get<std::size_t>(), kind["started"].get<std::size_t>(),
                kind["wait_p50_ms"].get<double>(), kind["wait_p99_ms"].get<double>(),
                kind["wait_max_ms"].get<double>(), kind["missed_deadlines"].get<std::size_t>(),
                kind["outcomes"].dump().c_str());
  std::printf("packing  %s\ncontrol  %s\n", figures["packing"].dump().c_str(),
              figures["control"].dump().c_str());
}
} // namespace

int replay(const arguments& given)
{
  const auto parsed = docopt::docopt(k_usage, given, true);
  const replay::trace recorded =
      replay::parse_trace(read_file(parsed.at("<trace>").asString()).text);
  replay::virtual_cell cell(recorded, document_for(recorded, parsed), options_from(parsed));
  cell.run();
  const json figures = collect(cell);
  if (parsed.at("--json").asBool())
    std::printf("%s\n", figures.dump().c_str());
  else
    print_table(figures);
  if (!cell.checker().failed())
    return k_done;
  std::fprintf(stderr, "does not hold: %s\n", cell.checker().failure().c_str());
  return k_refused;
}
} // namespace yardhill::cli
