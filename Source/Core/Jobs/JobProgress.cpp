// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Jobs/JobProgress.h"

#include <array>
#include <stdexcept>

#include <nlohmann/json.hpp>

namespace yardhill::jobs
{
namespace
{
using nlohmann::json;

// Lengths of a task's history array as earlier versions write it: without a crash history, without
// by_chance and without unexplained_losses. Each is also the index of the first field left out.
constexpr std::size_t k_length_without_crashes = 5;
constexpr std::size_t k_length_without_by_chance = 12;
constexpr std::size_t k_length_without_unexplained = 13;

constexpr std::array<std::string_view, 5> k_state_names{"queued", "active", "completed", "failed",
                                                        "cancelled"};

job_state state_from(const std::string& name)
{
  for (std::size_t i = 0; i < k_state_names.size(); ++i)
  {
    if (k_state_names[i] == name)
      return static_cast<job_state>(i);
  }
  throw std::invalid_argument("unknown job state " + name);
}

// One character per task of a step: '1' if the task is done, else '0'.
std::string bits_of(const std::vector<bool>& done)
{
  std::string text;
  text.reserve(done.size());
  for (const bool bit : done)
    text.push_back(bit ? '1' : '0');
  return text;
}

std::vector<bool> bits_from(const std::string& text)
{
  std::vector<bool> done;
  done.reserve(text.size());
  for (const char bit : text)
    done.push_back(bit == '1');
  return done;
}
} // namespace

std::string_view to_text(job_state state)
{
  return k_state_names[static_cast<std::size_t>(state)];
}

bool is_final(job_state state)
{
  return state == job_state::completed || state == job_state::failed ||
         state == job_state::cancelled;
}

std::string to_row_text(const job_progress& progress)
{
  json out;
  out["state"] = to_text(progress.state);
  // An ended job needs no details: none of its tasks will run again.
  if (is_final(progress.state))
    return out.dump();
  if (progress.terms)
    out["terms"] = to_json_value(*progress.terms);
  json cycles = json::array();
  for (const auto& steps : progress.done)
  {
    json row = json::array();
    for (const std::vector<bool>& done : steps)
      row.push_back(bits_of(done));
    cycles.push_back(std::move(row));
  }
  out["done"] = std::move(cycles);
  json histories = json::array();
  for (const auto& [place, history] : progress.histories)
  {
    json& row = histories.emplace_back(json::array(
        {place.cycle, place.step, place.index, history.failed_runs, history.checkpoint}));
    // Earlier versions read the first five fields and ignore the rest.
    if (history.crashes.any())
      row.insert(row.end(),
                 {history.crashes.blamed, history.crashes.unclear, history.crashes.announced,
                  history.crashes.announced_on, history.crashes.alone, history.crashes.unanswered,
                  history.crashes.lost, history.crashes.by_chance,
                  history.crashes.unexplained_losses});
  }
  json begun = json::array();
  for (const auto& [step, zone] : progress.begun)
    begun.push_back({step.cycle, step.step, zone});
  if (!begun.empty())
    out["begun"] = std::move(begun);
  if (!histories.empty())
    out["tasks"] = std::move(histories);
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

job_progress job_progress_from(const std::string& text)
{
  const json in = json::parse(text);
  job_progress progress;
  progress.state = state_from(in.at("state").get<std::string>());
  if (in.contains("done"))
  {
    for (const json& steps : in["done"])
    {
      auto& row = progress.done.emplace_back();
      for (const json& bits : steps)
        row.push_back(bits_from(bits.get<std::string>()));
    }
  }
  if (in.contains("terms"))
    progress.terms = acceptance_terms_from(in["terms"]);
  if (in.contains("begun"))
  {
    for (const json& step : in["begun"])
      progress.begun[{step.at(0), step.at(1), 0}] = step.at(2).get<std::string>();
  }
  if (in.contains("tasks"))
  {
    for (const json& task : in["tasks"])
    {
      task_history& history = progress.histories[{task.at(0), task.at(1), task.at(2)}];
      history = {task.at(3), task.at(4), {}};
      if (task.size() > k_length_without_crashes)
        history.crashes = {task.at(5), task.at(6),  task.at(7),  task.at(8),
                           task.at(9), task.at(10), task.at(11), 0};
      // Rows of earlier versions end before the following fields.
      if (task.size() > k_length_without_by_chance)
        history.crashes.by_chance = task.at(k_length_without_by_chance);
      if (task.size() > k_length_without_unexplained)
        history.crashes.unexplained_losses = task.at(k_length_without_unexplained);
    }
  }
  return progress;
}
} // namespace yardhill::jobs
