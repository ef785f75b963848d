// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Jobs/ProgressRows.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace yardhill::jobs
{
namespace
{
// The part of a job's rows that the tasks done and the begin marks may take; the rest is for
// histories.
constexpr std::size_t k_essential_share_percent = 40;
// The JSON around the digits of a step's tasks, around a cycle's steps, and the most that a begin
// mark without a zone takes.
constexpr std::size_t k_step_bytes = 3;
constexpr std::size_t k_cycle_bytes = 3;
constexpr std::size_t k_mark_bytes = 16;
// The name and brackets of a row's list of marks, and of that of histories.
constexpr std::size_t k_list_bytes = 11;
constexpr char k_continuation_separator = '+';

std::size_t essential_rows(const row_limits& limits)
{
  return std::max<std::size_t>(1, limits.rows * k_essential_share_percent / 100);
}

std::size_t size_of(const job_progress& part)
{
  return to_row_text(part).size();
}

// A part of a progress, to be filled with the entries of a continuation row.
job_progress empty_part()
{
  job_progress part;
  part.state = job_state::active;
  return part;
}

// Fills one row after the other.
class row_packer
{
public:
  // `progress`: what is not a list goes into the first row.
  row_packer(const job_progress& progress, std::size_t row_bytes) : m_row_bytes(row_bytes)
  {
    job_progress& first = m_rows.emplace_back();
    first.state = progress.state;
    first.terms = progress.terms;
    m_used = size_of(first) + 2 * k_list_bytes;
  }

  // Returns whether the entry was added: not if that takes more than `most_rows`.
  bool add(const job_progress& entry,
           std::size_t most_rows = std::numeric_limits<std::size_t>::max())
  {
    const std::size_t list_bytes = entry.done.empty() ? k_list_bytes : 0;
    const std::size_t bytes = size_of(entry) - m_empty_row - list_bytes + 1; // and a comma
    if (m_used + bytes > m_row_bytes)
    {
      if (m_rows.size() >= most_rows)
        return false;
      m_rows.push_back(empty_part());
      m_used = m_empty_row + 2 * k_list_bytes;
    }
    m_used += bytes;
    add_continuation(m_rows.back(), entry);
    return true;
  }

  std::size_t count() const { return m_rows.size(); }

  std::vector<std::string> texts() const
  {
    std::vector<std::string> texts;
    for (const job_progress& each : m_rows)
      texts.push_back(to_row_text(each));
    return texts;
  }

private:
  std::size_t m_row_bytes;
  std::size_t m_empty_row = size_of(empty_part());
  std::size_t m_used = 0; // in the last row
  std::vector<job_progress> m_rows;
};

bool any_done(const std::vector<std::vector<bool>>& steps)
{
  return std::any_of(steps.begin(), steps.end(),
                     [](const std::vector<bool>& tasks)
                     { return std::find(tasks.begin(), tasks.end(), true) != tasks.end(); });
}

// Later cycles of which no task is done are left out: a reader takes what is missing for not done.
void add_done(row_packer& rows, const job_progress& progress)
{
  auto end = progress.done.end();
  while (end != progress.done.begin() && !any_done(*std::prev(end)))
    --end;
  for (auto cycle = progress.done.begin(); cycle != end; ++cycle)
  {
    job_progress part = empty_part();
    part.done.push_back(*cycle);
    rows.add(part);
  }
}

void add_marks(row_packer& rows, const job_progress& progress, bool with_zones)
{
  for (const auto& [step, zone] : progress.begun)
  {
    job_progress part = empty_part();
    part.begun[step] = with_zones ? zone : std::string();
    rows.add(part);
  }
}

// A mark without a zone means that tasks of the step may be on any worker, so it covers any other.
row_packer essential_part(const job_progress& progress, const row_limits& limits)
{
  row_packer done(progress, limits.bytes);
  add_done(done, progress);
  row_packer rows = done;
  add_marks(rows, progress, true);
  if (rows.count() <= essential_rows(limits))
    return rows;
  add_marks(done, progress, false);
  return done;
}

progress_rows with_histories(row_packer rows, const job_progress& progress, std::size_t most_rows,
                             bool with_checkpoints)
{
  progress_rows result;
  for (const auto& [place, history] : progress.histories)
  {
    job_progress part = empty_part();
    task_history& kept = part.histories[place] = history;
    if (!with_checkpoints && !std::exchange(kept.checkpoint, {}).empty())
      ++result.omitted_checkpoints;
    if (!rows.add(part, most_rows))
      ++result.omitted_histories;
  }
  result.texts = rows.texts();
  return result;
}
} // namespace

progress_rows to_rows(const job_progress& progress, const row_limits& limits)
{
  std::string whole = to_row_text(progress);
  if (whole.size() <= limits.bytes)
    return {{std::move(whole)}};
  const row_packer essential = essential_part(progress, limits);
  progress_rows all = with_histories(essential, progress, limits.rows, true);
  if (all.omitted_histories == 0)
    return all;
  return with_histories(essential, progress, limits.rows, false);
}

void add_continuation(job_progress& progress, const job_progress& continuation)
{
  progress.done.insert(progress.done.end(), continuation.done.begin(), continuation.done.end());
  progress.begun.insert(continuation.begun.begin(), continuation.begun.end());
  progress.histories.insert(continuation.histories.begin(), continuation.histories.end());
}

std::string continuation_key(const std::string& job, std::size_t number)
{
  const std::string digits = std::to_string(number);
  return job + k_continuation_separator + (digits.size() < 2 ? "0" : "") + digits;
}

std::optional<std::string> continued_job(const std::string& key)
{
  const std::size_t separator = key.find(k_continuation_separator);
  if (separator == std::string::npos)
    return std::nullopt;
  return key.substr(0, separator);
}

std::optional<std::string> storage_error(const accepted_job& job, const row_limits& limits)
{
  const std::size_t own = to_row_text(job).size();
  if (own > limits.bytes)
    return "the job's description takes " + std::to_string(own) + " bytes in the store, at most " +
           std::to_string(limits.bytes) + " are possible";
  std::size_t cycle_bytes = k_cycle_bytes;
  for (const step_spec& step : job.spec.steps)
    cycle_bytes += step.count + k_step_bytes + k_mark_bytes;
  // A row ends before the cycle that does not fit into it.
  const std::size_t row_bytes = limits.bytes - std::min(limits.bytes, cycle_bytes);
  const std::size_t needed = cycle_bytes * job.spec.cycles();
  const std::size_t possible = essential_rows(limits) * row_bytes;
  if (needed > possible)
    return "the progress of the job's tasks over all its repetitions takes up to " +
           std::to_string(needed) + " bytes in the store, at most " + std::to_string(possible) +
           " are possible";
  return std::nullopt;
}
} // namespace yardhill::jobs
