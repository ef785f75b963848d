// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Load/LoadReport.h"

#include <algorithm>
#include <cstdio>

#include <nlohmann/json.hpp>

#include "platform/Ingress.h"

namespace yardhill::load
{
namespace
{
using jobs::job_state;
using nlohmann::json;

double millis(common::duration time)
{
  return std::chrono::duration<double, std::milli>(time).count();
}

json optional_millis(const std::optional<common::duration>& time)
{
  return time ? json(millis(*time)) : json();
}

bool completed(const played_job& job)
{
  if (job.planned->spec.long_running())
    return job.started && job.state == job_state::cancelled;
  return job.state == job_state::completed;
}

void count(kind_report& report, const played_job& job, common::duration deadline)
{
  ++report.sent;
  report.refusals += job.refusals;
  report.unanswered += job.unanswered;
  if (!job.accepted)
    return;
  ++report.accepted;
  if (job.started)
    report.start_latencies.push_back(*job.started - job.planned->at);
  if (!job.ended)
  {
    ++report.unfinished;
    return;
  }
  if (!completed(job))
  {
    ++report.failed;
    return;
  }
  ++report.completed;
  if (job.planned->spec.long_running())
    return;
  const common::duration took = *job.ended - job.planned->at;
  report.end_latencies.push_back(took);
  report.late += took > deadline + jobs::critical_path_length(job.planned->spec.steps) ? 1 : 0;
}
} // namespace

std::vector<kind_report> report_by_kind(const load_profile& profile,
                                        const std::vector<played_job>& jobs)
{
  std::vector<kind_report> reports(profile.kinds.size());
  for (std::size_t i = 0; i < reports.size(); ++i)
    reports[i].kind = profile.kinds[i].name;
  for (const played_job& job : jobs)
    count(reports[job.planned->kind], job, profile.kinds[job.planned->kind].deadline);
  for (kind_report& report : reports)
  {
    std::sort(report.start_latencies.begin(), report.start_latencies.end());
    std::sort(report.end_latencies.begin(), report.end_latencies.end());
  }
  return reports;
}

bool all_served(const std::vector<kind_report>& reports)
{
  return std::all_of(reports.begin(), reports.end(),
                     [](const kind_report& each) { return each.completed == each.sent; });
}

common::duration quantile_of(const std::vector<common::duration>& sorted, double quantile)
{
  if (sorted.empty())
    return common::duration{0};
  return sorted[static_cast<std::size_t>(quantile * static_cast<double>(sorted.size() - 1))];
}

std::string to_table(const std::vector<kind_report>& reports)
{
  std::string out = "kind              sent  done  late  failed  unended  refusals  unanswered"
                    "   begin p50    p99 ms     end p50    p99 ms\n";
  for (const kind_report& each : reports)
  {
    char line[200];
    std::snprintf(
        line, sizeof line, "%-16s%6zu%6zu%6zu%8zu%9zu%10zu%12zu%12.0f%10.0f%12.0f%10.0f\n",
        each.kind.c_str(), each.sent, each.completed, each.late, each.failed, each.unfinished,
        each.refusals, each.unanswered, millis(quantile_of(each.start_latencies, 0.5)),
        millis(quantile_of(each.start_latencies, 0.99)),
        millis(quantile_of(each.end_latencies, 0.5)),
        millis(quantile_of(each.end_latencies, 0.99)));
    out += line;
  }
  return out;
}

std::string to_json(const std::vector<kind_report>& reports)
{
  json out = json::array();
  for (const kind_report& each : reports)
  {
    out.push_back({{"kind", each.kind},
                   {"sent", each.sent},
                   {"accepted", each.accepted},
                   {"completed", each.completed},
                   {"late", each.late},
                   {"failed", each.failed},
                   {"unended", each.unfinished},
                   {"refusals", each.refusals},
                   {"unanswered", each.unanswered},
                   {"begin_p50_ms", millis(quantile_of(each.start_latencies, 0.5))},
                   {"begin_p99_ms", millis(quantile_of(each.start_latencies, 0.99))},
                   {"end_p50_ms", millis(quantile_of(each.end_latencies, 0.5))},
                   {"end_p99_ms", millis(quantile_of(each.end_latencies, 0.99))}});
  }
  return out.dump();
}

std::string to_line(const load_profile& profile, const planned_job& job)
{
  return json{{"id", job.id},
              {"kind", profile.kinds[job.kind].name},
              {"at_ms", millis(job.at)},
              {"body", adapter::submission_body(job.spec)}}
      .dump();
}

std::string to_line(const load_profile& profile, const played_job& job)
{
  return json{{"id", job.planned->id},
              {"kind", profile.kinds[job.planned->kind].name},
              {"handed_in_ms", millis(job.planned->at)},
              {"tries", job.tries},
              {"accepted_ms", optional_millis(job.accepted)},
              {"begun_ms", optional_millis(job.started)},
              {"ended_ms", optional_millis(job.ended)},
              {"state", job.state ? json(jobs::to_text(*job.state)) : json()},
              {"detail", job.detail}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}
} // namespace yardhill::load
