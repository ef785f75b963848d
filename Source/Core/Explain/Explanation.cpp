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

// Events about a process that can hold a request up. Those about a worker count if the request's
// own lines name that worker.
constexpr auto k_holding_up = std::to_array<std::string_view>(
    {"store_lost",        "store_heard",       "take_over",         "partition_owned",
     "partition_lost",    "partition_release", "tasks_accounted",   "zone_silent",
     "peer_silent",       "peer_unlinked",     "stopping",          "started",
     "worker_silent",     "worker_heard",      "worker_slow",       "worker_paused",
     "worker_crashed",    "worker_restarted",  "worker_entry_gone", "advice_overdue",
     "commit_unanswered", "feed_history_gone"});

// An instance whose loop is later than this answers and orders late.
constexpr double k_late_loop_ms = 250.0;

// Not so for lines that only show what somebody asked, or that a task still waits.
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

// Whom the request's own lines name.
struct named_parts
{
  std::set<std::string> processes;
  std::set<std::string> workers;
};

bool shows_late_loop(const log_line& line)
{
  return line.event == "counters" && line.number("loop_late_worst_ms") > k_late_loop_ms;
}

bool may_hold_up(const log_line& line, const named_parts& named)
{
  if (shows_late_loop(line))
    return named.processes.contains(line.process);
  if (std::find(k_holding_up.begin(), k_holding_up.end(), line.event) == k_holding_up.end())
    return false;
  return !line.fields.contains("worker") || named.workers.contains(line.text("worker"));
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

// What the instance knew of the job's row; a young instance knows little.
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

// A task was lost with its workers too often: none of its runs has listed an end.
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

// The owner, or whoever else told of the request, was busy.
std::string late_loop_cause(const std::vector<log_line>& meanwhile)
{
  const log_line* worst = nullptr;
  for (const log_line& line : meanwhile)
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

std::string late_cause(const wait& longest, const std::vector<log_line>& meanwhile)
{
  if (longest.from == nullptr)
    return "its lines show no wait";
  std::string cause = "waited " + in_seconds(longest.length()) + " between " + longest.from->event +
                      " and " + longest.to->event;
  cause += meanwhile.empty() ? "; no instance lost anything meanwhile: it ran, or had no room"
                             : "; meanwhile:";
  std::set<std::string> events;
  for (const log_line& line : meanwhile)
  {
    if (events.insert(line.event).second)
      cause += " " + line.event;
  }
  return cause + late_loop_cause(meanwhile);
}

// Which waits its tasks that last were in, the one that was told most often first.
std::string lasting_cause(const std::vector<log_line>& lines)
{
  struct told_wait
  {
    std::size_t lines = 0;
    const log_line* longest = nullptr;
  };
  std::map<std::string, told_wait> by_wait;
  for (const log_line& line : lines)
  {
    if (line.event != "lasting_task_waits")
      continue;
    told_wait& told = by_wait[line.text("wait")];
    ++told.lines;
    if (told.longest == nullptr || line.number("waited_ms") > told.longest->number("waited_ms"))
      told.longest = &line;
  }
  std::vector<std::pair<std::string, told_wait>> order(by_wait.begin(), by_wait.end());
  std::stable_sort(order.begin(), order.end(),
                   [](const auto& left, const auto& right)
                   { return left.second.lines > right.second.lines; });
  std::string cause;
  for (const auto& [wait, told] : order)
  {
    const log_line& line = *told.longest;
    const auto waited = milliseconds(static_cast<std::int64_t>(line.number("waited_ms")));
    cause += cause.empty() ? "; a task that lasts did not run: " : ", ";
    cause += wait + " (" + std::to_string(told.lines) + (told.lines == 1 ? " line" : " lines") +
             ", up to " + in_seconds(waited);
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

std::string_view to_text(outcome how)
{
  static constexpr std::array<std::string_view, 6> k_names{"unknown", "refused", "in time",
                                                           "late",    "failed",  "cancelled"};
  return k_names[static_cast<std::size_t>(how)];
}

explanation explain(const std::string& request, const std::vector<log_line>& log)
{
  explanation told;
  told.lines = lines_of(request, log);
  told.how = outcome_of(told.lines);
  const wait longest = longest_wait(told.lines);
  told.longest_wait = longest.length();
  if (longest.from != nullptr)
  {
    const named_parts named{processes_in(told.lines), workers_in(told.lines)};
    std::copy_if(log.begin(), log.end(), std::back_inserter(told.meanwhile),
                 [&longest, &named](const log_line& line)
                 {
                   return line.request.empty() && line.at >= longest.from->at &&
                          line.at <= longest.to->at && may_hold_up(line, named);
                 });
    std::stable_sort(told.meanwhile.begin(), told.meanwhile.end(),
                     [](const log_line& left, const log_line& right)
                     { return left.at < right.at; });
  }
  if (told.lines.empty())
    told.cause = "no line names this request";
  else if (told.how == outcome::refused)
    told.cause = refusal_cause(told.lines.back());
  else if (told.how == outcome::failed)
    told.cause = failure_cause(told.lines);
  else if (told.how == outcome::cancelled)
    told.cause = "it was cancelled";
  else
    told.cause = late_cause(longest, told.meanwhile);
  told.cause += lasting_cause(told.lines);
  return told;
}

std::string to_text(const explanation& told)
{
  std::string text = std::string(to_text(told.how)) + ": " + told.cause + "\n";
  if (told.lines.empty())
    return text;
  const log_time begin = told.lines.front().at;
  std::vector<std::pair<const log_line*, const char*>> all;
  for (const log_line& line : told.lines)
    all.emplace_back(&line, "  ");
  for (const log_line& line : told.meanwhile)
    all.emplace_back(&line, "| ");
  std::stable_sort(all.begin(), all.end(),
                   [](const auto& left, const auto& right)
                   { return left.first->at < right.first->at; });
  for (const auto& [line, mark] : all)
    append(text, *line, begin, mark);
  return text;
}
} // namespace yardhill::explain
