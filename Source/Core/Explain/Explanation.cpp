// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Explain/Explanation.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <set>

namespace yardhill::explain
{
namespace
{
using std::chrono::milliseconds;

// Events about processes and workers that can delay a request. An event about a worker counts only
// if the request's own lines name that worker.
constexpr auto k_delaying_events = std::to_array<std::string_view>(
    {"store_lost",        "store_heard",       "take_over",         "partition_owned",
     "partition_lost",    "partition_release", "tasks_accounted",   "zone_silent",
     "peer_silent",       "peer_unlinked",     "stopping",          "started",
     "worker_silent",     "worker_heard",      "worker_slow",       "worker_paused",
     "worker_crashed",    "worker_restarted",  "worker_entry_gone", "advice_overdue",
     "commit_unanswered", "feed_history_gone"});

// An instance whose event loop is delayed by more than this replies to callers and sends requests
// to workers late.
constexpr double k_late_loop_ms = 250.0;

// Whether the line shows progress of the request. Lines that only record a status query, or that a
// task is still waiting, do not.
bool shows_progress(const log_line& line)
{
  return line.event != "state_shown" && line.event != "lasting_task_waits";
}

std::vector<log_line> lines_of(const std::string& request, const std::vector<log_line>& log)
{
  std::vector<log_line> lines;
  std::copy_if(log.begin(), log.end(), std::back_inserter(lines),
               [&request](const log_line& line) { return line.request == request; });
  std::stable_sort(lines.begin(), lines.end(),
                   [](const log_line& left, const log_line& right) { return left.at < right.at; });
  return lines;
}

std::set<std::string> processes_in(const std::vector<log_line>& lines)
{
  std::set<std::string> processes;
  for (const log_line& line : lines)
    processes.insert(line.process);
  return processes;
}

std::set<std::string> workers_in(const std::vector<log_line>& lines)
{
  std::set<std::string> workers;
  for (const log_line& line : lines)
  {
    for (const char* field : {"worker", "beside", "room_at"})
      workers.insert(line.text(field));
  }
  return workers;
}

// The processes that wrote the request's own lines, and the workers that these lines name.
struct involved_parties
{
  std::set<std::string> processes;
  std::set<std::string> workers;
};

bool shows_late_loop(const log_line& line)
{
  return line.event == "counters" && line.number("loop_late_worst_ms") > k_late_loop_ms;
}

bool may_delay(const log_line& line, const involved_parties& involved)
{
  if (shows_late_loop(line))
    return involved.processes.contains(line.process);
  if (std::find(k_delaying_events.begin(), k_delaying_events.end(), line.event) ==
      k_delaying_events.end())
    return false;
  return !line.fields.contains("worker") || involved.workers.contains(line.text("worker"));
}

outcome outcome_of(const std::vector<log_line>& lines)
{
  const auto ended = std::find_if(lines.rbegin(), lines.rend(),
                                  [](const log_line& line) { return line.event == "job_ended"; });
  if (ended == lines.rend())
    return !lines.empty() && lines.back().event == "refused" ? outcome::refused : outcome::unknown;
  const std::string state = ended->text("state");
  if (state == "failed")
    return outcome::failed;
  if (state == "cancelled")
    return outcome::cancelled;
  return ended->number("before_objective_ms") < 0 ? outcome::late : outcome::in_time;
}

struct wait
{
  const log_line* from = nullptr;
  const log_line* to = nullptr;

  milliseconds length() const { return from == nullptr ? milliseconds{0} : to->at - from->at; }
};

wait longest_wait(const std::vector<log_line>& lines)
{
  wait longest;
  const log_line* last = nullptr;
  for (const log_line& line : lines)
  {
    if (!shows_progress(line))
      continue;
    const wait here{last, &line};
    if (last != nullptr && here.length() > longest.length())
      longest = here;
    last = &line;
  }
  return longest;
}

std::string in_seconds(milliseconds time)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.2f s", static_cast<double>(time.count()) / 1000.0);
  return text.data();
}

// What the instance knew of the job's row, and how long the instance had been running: a recently
// started instance knows little.
std::string evidence_of(const log_line& line)
{
  if (!line.fields.contains("row"))
    return {};
  const auto age = static_cast<std::int64_t>(line.number("instance_age_ms"));
  return "; the job's row: " + line.text("row") +
         ", the instance's age: " + in_seconds(milliseconds(age));
}

std::string refusal_cause(const log_line& line)
{
  return "refused with " + std::to_string(static_cast<int>(line.number("status"))) + ", " +
         line.text("reason") + ": " + line.text("detail") + ", after " +
         in_seconds(milliseconds(static_cast<std::int64_t>(line.number("after_ms")))) +
         evidence_of(line);
}

// The cause if a task was given up because it was lost with its workers too often: none of its runs
// has reported an end.
std::string crash_cause(const log_line& given_up)
{
  const auto count = [&given_up](const char* field)
  { return std::to_string(static_cast<int>(given_up.number(field))); };
  return "task " + count("task") + " of step " + count("step") +
         " was given up: " + count("crashes") + " workers crashed just after it had begun, " +
         count("unclear") + " more runs were lost and " + count("unanswered") +
         " starts not answered; the job itself is most likely at fault";
}

std::string failure_cause(const std::vector<log_line>& lines)
{
  const auto given_up =
      std::find_if(lines.begin(), lines.end(),
                   [](const log_line& line) { return line.event == "task_given_up"; });
  if (given_up != lines.end())
    return crash_cause(*given_up);
  std::set<std::string> workers;
  std::size_t failures = 0;
  for (const log_line& line : lines)
  {
    if (line.event != "run_ended" || line.text("how") != "failed")
      continue;
    ++failures;
    workers.insert(line.text("worker"));
  }
  return std::to_string(failures) + " runs failed on " + std::to_string(workers.size()) +
         " workers; with several workers the job itself is at fault, with one the worker may be";
}

// Names the instance with the largest event-loop delay among those that logged the request, such as
// the partition's owner.
std::string late_loop_cause(const std::vector<log_line>& delays)
{
  const log_line* worst = nullptr;
  for (const log_line& line : delays)
  {
    if (shows_late_loop(line) && (worst == nullptr || line.number("loop_late_worst_ms") >
                                                          worst->number("loop_late_worst_ms")))
      worst = &line;
  }
  if (worst == nullptr)
    return {};
  const auto late = milliseconds(static_cast<std::int64_t>(worst->number("loop_late_worst_ms")));
  return "; the loop of " + worst->process + " was up to " + in_seconds(late) + " late";
}

std::string late_cause(const wait& longest, const std::vector<log_line>& delays)
{
  if (longest.from == nullptr)
    return "its lines show no wait";
  std::string cause = "waited " + in_seconds(longest.length()) + " between " + longest.from->event +
                      " and " + longest.to->event;
  cause += delays.empty() ? "; no delaying event was logged in that time: tasks were running, or "
                            "there was no free capacity"
                          : "; meanwhile:";
  std::set<std::string> events;
  for (const log_line& line : delays)
  {
    if (events.insert(line.event).second)
      cause += " " + line.event;
  }
  return cause + late_loop_cause(delays);
}

// The waits that the request's long-running tasks were in, the most frequently reported first.
std::string long_running_wait_cause(const std::vector<log_line>& lines)
{
  struct reported_wait
  {
    std::size_t lines = 0;
    const log_line* longest = nullptr;
  };
  std::map<std::string, reported_wait> by_wait;
  for (const log_line& line : lines)
  {
    if (line.event != "lasting_task_waits")
      continue;
    reported_wait& reported = by_wait[line.text("wait")];
    ++reported.lines;
    if (reported.longest == nullptr ||
        line.number("waited_ms") > reported.longest->number("waited_ms"))
      reported.longest = &line;
  }
  std::vector<std::pair<std::string, reported_wait>> order(by_wait.begin(), by_wait.end());
  std::stable_sort(order.begin(), order.end(),
                   [](const auto& left, const auto& right)
                   { return left.second.lines > right.second.lines; });
  std::string cause;
  for (const auto& [wait, reported] : order)
  {
    const log_line& line = *reported.longest;
    const auto waited = milliseconds(static_cast<std::int64_t>(line.number("waited_ms")));
    cause += cause.empty() ? "; a long-running task did not run: " : ", ";
    cause += wait + " (" + std::to_string(reported.lines) +
             (reported.lines == 1 ? " line" : " lines") + ", up to " + in_seconds(waited);
    const std::string worker = line.text("worker");
    cause += worker.empty() ? ")" : ", worker " + worker + " in zone " + line.text("zone") + ")";
  }
  return cause;
}

void append(std::string& text, const log_line& line, log_time begin, const char* mark)
{
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%s%8.3f  ", mark,
                static_cast<double>((line.at - begin).count()) / 1000.0);
  text += time.data() + line.process + "  " + line.event + "  " + line.fields.dump() + "\n";
}
} // namespace

std::string_view to_text(outcome value)
{
  static constexpr std::array<std::string_view, 6> k_names{"unknown", "refused", "in time",
                                                           "late",    "failed",  "cancelled"};
  return k_names[static_cast<std::size_t>(value)];
}

explanation explain(const std::string& request, const std::vector<log_line>& log)
{
  explanation explained;
  explained.lines = lines_of(request, log);
  explained.result = outcome_of(explained.lines);
  const wait longest = longest_wait(explained.lines);
  explained.longest_wait = longest.length();
  if (longest.from != nullptr)
  {
    const involved_parties involved{processes_in(explained.lines), workers_in(explained.lines)};
    std::copy_if(log.begin(), log.end(), std::back_inserter(explained.delays),
                 [&longest, &involved](const log_line& line)
                 {
                   return line.request.empty() && line.at >= longest.from->at &&
                          line.at <= longest.to->at && may_delay(line, involved);
                 });
    std::stable_sort(explained.delays.begin(), explained.delays.end(),
                     [](const log_line& left, const log_line& right)
                     { return left.at < right.at; });
  }
  if (explained.lines.empty())
    explained.cause = "no line names this request";
  else if (explained.result == outcome::refused)
    explained.cause = refusal_cause(explained.lines.back());
  else if (explained.result == outcome::failed)
    explained.cause = failure_cause(explained.lines);
  else if (explained.result == outcome::cancelled)
    explained.cause = "it was cancelled";
  else
    explained.cause = late_cause(longest, explained.delays);
  explained.cause += long_running_wait_cause(explained.lines);
  return explained;
}

std::string to_text(const explanation& explained)
{
  std::string text = std::string(to_text(explained.result)) + ": " + explained.cause + "\n";
  if (explained.lines.empty())
    return text;
  const log_time begin = explained.lines.front().at;
  std::vector<std::pair<const log_line*, const char*>> all;
  for (const log_line& line : explained.lines)
    all.emplace_back(&line, "  ");
  for (const log_line& line : explained.delays)
    all.emplace_back(&line, "| ");
  std::stable_sort(all.begin(), all.end(),
                   [](const auto& left, const auto& right)
                   { return left.first->at < right.first->at; });
  for (const auto& [line, mark] : all)
    append(text, *line, begin, mark);
  return text;
}
} // namespace yardhill::explain
