// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/JobStore.h"

#include <algorithm>
#include <array>
#include <utility>

#include "Common/Error.h"
#include "Common/EventLog.h"
#include "Common/Hash.h"
#include "Node/OwnerRow.h"

namespace yardhill::node
{
namespace
{
constexpr std::size_t k_job_parts = 32;
// Behind a job's own row in the order of keys.
constexpr const char* k_cancel_suffix = "~cancel";
constexpr const char* k_refused_text = "refused";
// The store answers in 4 ms; under its slowest measured trouble (sixty times) in 240.
constexpr std::chrono::milliseconds k_write_timeout{900};
// Writes that met another row are tried again this often.
constexpr unsigned k_most_retries = 3;
// What the store turned away is tried again after a pause that doubles from this to the longest.
constexpr std::chrono::milliseconds k_retry_pause{60};
constexpr std::chrono::milliseconds k_longest_pause{480};

// One submission on its way into the store.
class acceptance : public std::enable_shared_from_this<acceptance>
{
public:
  // `known`: a version of the store from when the submission came.
  acceptance(common::timekeeper& time, adapter::store_client& store, adapter::row_version known,
             const jobs::accepted_job& job, common::time_point deadline,
             std::function<void(accept_result)> done)
      : m_time(time),
        m_store(store),
        m_known(known),
        m_key(job_key(job.id)),
        m_text(jobs::to_row_text(job)),
        m_deadline(deadline),
        m_done(std::move(done))
  {
  }

  void write()
  {
    put(m_text, [self = shared_from_this()](const adapter::transaction_result& result)
        { self->on_written(result); });
  }

  // Nothing is written but the mark of a refusal.
  void refuse(const std::string& why)
  {
    m_detail = why;
    m_first = false;
    settle();
  }

private:
  void put(const std::string& text, std::function<void(adapter::transaction_result)> done)
  {
    adapter::transaction change;
    change.conditions.push_back({m_key, m_expected});
    change.puts.push_back({m_key, text});
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - m_time.now());
    m_store.transact(change, std::min(k_write_timeout, left), std::move(done));
  }

  void on_written(const adapter::transaction_result& result)
  {
    switch (result.end)
    {
    case adapter::store_outcome::done:
      m_done({accept_end::accepted, {}, true, result.version});
      return;
    case adapter::store_outcome::conflict:
      on_conflict(result);
      return;
    case adapter::store_outcome::unavailable:
      write_later(result.detail);
      return;
    default:
      m_detail = "the store did not answer: " + result.detail;
      settle();
    }
  }

  // Until the deadline: the store may be back any moment. No refusal is true then, since this try
  // is known not to be kept, and nothing of earlier ones: they may wait in the store for their
  // turn.
  void write_later(const std::string& detail)
  {
    const common::duration pause = m_pause;
    if (m_time.now() + pause >= m_deadline)
    {
      m_done({accept_end::unknown, "the store is not available: " + detail, false, 0});
      return;
    }
    m_pause = std::min(2 * m_pause, k_longest_pause);
    later(pause, [this] { write(); });
  }

  // Another row is there: the same job, or the mark of a refusal. It may be replaced if it was
  // there before the submission came; else a later call of the caller may have been refused by it.
  void on_conflict(const adapter::transaction_result& result)
  {
    const auto present = std::find_if(result.conflicting.begin(), result.conflicting.end(),
                                      [](const adapter::row& row) { return !row.value.empty(); });
    if (present == result.conflicting.end())
    {
      m_expected = 0;
      retry_or_settle();
      return;
    }
    if (present->value != k_refused_text)
    {
      m_done({accept_end::accepted, "the id was there already", false, present->version});
      return;
    }
    if (present->version > m_known)
    {
      m_done({accept_end::unknown, "another call for it was refused meanwhile", false, 0});
      return;
    }
    m_expected = present->version;
    retry_or_settle();
  }

  void retry_or_settle()
  {
    if (++m_tries <= k_most_retries)
      write();
    else
      m_done({accept_end::unknown, "the row keeps changing", false, 0});
  }

  // The write may have happened or may happen later, and so may those of other calls for the same
  // id. A refusal is true only once this call has written its mark there: no earlier write's
  // condition holds then.
  void settle()
  {
    if (m_time.now() + k_retry_pause >= m_deadline)
    {
      m_done({accept_end::unknown, m_detail, false, 0});
      return;
    }
    put(k_refused_text, [self = shared_from_this()](const adapter::transaction_result& result)
        { self->on_settled(result); });
  }

  void on_settled(const adapter::transaction_result& result)
  {
    if (result.end == adapter::store_outcome::done)
    {
      m_done({accept_end::refused, m_detail, false, 0, row_evidence::marked});
      return;
    }
    if (result.end != adapter::store_outcome::conflict)
    {
      later(k_retry_pause, [this] { settle(); });
      return;
    }
    const auto kept = std::find_if(result.conflicting.begin(), result.conflicting.end(),
                                   [](const adapter::row& row)
                                   { return !row.value.empty() && row.value != k_refused_text; });
    // It may be an earlier submission's row, even of a job that has ended since.
    if (kept != result.conflicting.end())
    {
      m_done({accept_end::accepted, "settled by reading it back", m_first && kept->value == m_text,
              kept->version});
      return;
    }
    m_expected = result.conflicting.empty() ? 0 : result.conflicting.front().version;
    settle();
  }

  void later(common::duration pause, std::function<void()> again)
  {
    m_time.schedule(pause, [self = shared_from_this(), again = std::move(again)] { again(); });
  }

  common::timekeeper& m_time;
  adapter::store_client& m_store;
  adapter::row_version m_known;
  adapter::row_key m_key;
  std::string m_text;
  common::time_point m_deadline;
  std::function<void(accept_result)> m_done;
  adapter::row_version m_expected = 0;
  unsigned m_tries = 0;
  std::chrono::milliseconds m_pause = k_retry_pause;
  std::string m_detail; // why the job is refused, if it is
  // Whether a job that is found there may be this call's.
  bool m_first = true;
};
} // namespace

std::string_view to_text(row_evidence evidence)
{
  static constexpr std::array<std::string_view, 3> k_names{"none", "absent", "marked"};
  return k_names[static_cast<std::size_t>(evidence)];
}

std::vector<std::string> job_parts()
{
  std::vector<std::string> parts;
  for (std::size_t i = 0; i < k_job_parts; ++i)
    parts.push_back("j" + std::to_string(i));
  return parts;
}

std::string job_part(const std::string& id)
{
  return "j" + std::to_string(common::stable_hash(id) % k_job_parts);
}

bool runs_in(const jobs::accepted_job& job, const std::string& partition)
{
  return job.home == partition || job.home == jobs::k_every_partition;
}

adapter::row_key job_key(const std::string& id)
{
  return {k_jobs_table, job_part(id), id};
}

adapter::row_key cancel_key(const std::string& id)
{
  return {k_jobs_table, job_part(id), id + k_cancel_suffix};
}

std::optional<job_row> job_row_from(const adapter::row& row)
{
  const std::size_t suffix = row.at.key.find(k_cancel_suffix);
  if (suffix != std::string::npos)
    return job_row{row.at.key.substr(0, suffix), cancel_mark{}};
  if (row.value == k_refused_text)
    return job_row{row.at.key, refused_mark{}};
  auto job = common::parsed("read_job_row", row.at.key,
                            [&row] { return jobs::accepted_job_from(row.at.key, row.value); });
  if (!job)
  {
    common::log_request("row_damaged", row.at.key, {{"error", common::to_text(job.error())}});
    return std::nullopt;
  }
  return job_row{row.at.key, *std::move(job)};
}

job_store::job_store(common::timekeeper& time, adapter::store_client& store,
                     const adapter::store_client& feed_store)
    : m_time(time), m_store(store), m_feed_store(feed_store)
{
}

adapter::row_version job_store::version_so_far() const
{
  return std::max(m_store.newest_row_version(), m_feed_store.newest_row_version());
}

void job_store::accept(const jobs::accepted_job& job, adapter::row_version known,
                       common::time_point deadline, std::function<void(accept_result)> done)
{
  std::make_shared<acceptance>(m_time, m_store, known, job, deadline, std::move(done))->write();
}

void job_store::refuse(const std::string& id, const std::string& why, common::time_point deadline,
                       std::function<void(accept_result)> done)
{
  jobs::accepted_job job;
  job.id = id;
  std::make_shared<acceptance>(m_time, m_store, version_so_far(), job, deadline, std::move(done))
      ->refuse(why);
}

void job_store::find(const std::string& id, common::duration timeout,
                     std::function<void(found_job)> done)
{
  m_store.read({k_jobs_table, job_part(id), id, id + "~~", 2}, timeout,
               [done = std::move(done)](const adapter::rows_result& result)
               {
                 found_job found;
                 found.answered = result.end == adapter::store_outcome::done;
                 for (const adapter::row& each : result.rows)
                 {
                   auto row = job_row_from(each);
                   if (!row)
                   {
                     found.answered = false; // there may be a job
                     continue;
                   }
                   if (auto* job = std::get_if<jobs::accepted_job>(&row->content))
                     found.job = std::move(*job);
                   found.cancelled |= std::holds_alternative<cancel_mark>(row->content);
                 }
                 done(std::move(found));
               });
}

void job_store::cancel(const std::string& id, common::duration timeout,
                       std::function<void(bool)> done)
{
  adapter::transaction change;
  change.puts.push_back({cancel_key(id), "cancel"});
  m_store.transact(change, timeout,
                   [done = std::move(done)](const adapter::transaction_result& result)
                   { done(result.end == adapter::store_outcome::done); });
}

void job_store::state(const std::string& partition, const std::string& id, common::duration timeout,
                      std::function<void(written_state)> done)
{
  m_store.read({k_progress_table, partition, id, id + "~", 1}, timeout,
               [done = std::move(done), id](const adapter::rows_result& result)
               {
                 written_state written;
                 written.answered = result.end == adapter::store_outcome::done;
                 if (written.answered && !result.rows.empty())
                 {
                   const auto progress = common::parsed_or_none(
                       "read_progress", id,
                       [&result] { return jobs::job_progress_from(result.rows.front().value); });
                   written.answered = progress.has_value();
                   if (progress)
                     written.state = progress->state;
                 }
                 done(written);
               });
}
} // namespace yardhill::node
