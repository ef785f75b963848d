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
// Appended to a job's id, so that the row sorts after the job's own row.
constexpr const char* k_cancel_suffix = "~cancel";
constexpr const char* k_refused_text = "refused";
// The store answers in 4 ms, and in 240 ms while it is sixty times slower.
constexpr std::chrono::milliseconds k_write_timeout{900};
// How many times a write that conflicted with another row is repeated.
constexpr unsigned k_max_conflict_retries = 3;
// A write that the store rejected or did not answer is repeated after a delay that doubles from the
// first to the second value.
constexpr std::chrono::milliseconds k_first_retry_delay{60};
constexpr std::chrono::milliseconds k_max_retry_delay{480};
// A write without a reply is repeated until this long before the deadline. The rest is for the
// refusal mark, which a store that is sixty times slower answers in 240 ms.
constexpr std::chrono::milliseconds k_mark_time{300};

// Stores one submission, or a refusal in its place, and determines the outcome.
class acceptance : public std::enable_shared_from_this<acceptance>
{
public:
  // `known_version`: a store version from when the submission arrived.
  acceptance(common::timekeeper& time, adapter::store_client& store, submission_retries& retries,
             std::uint32_t priority, adapter::row_version known_version,
             const jobs::accepted_job& job, common::time_point deadline,
             std::function<void(accept_result)> done)
      : m_time(time),
        m_store(store),
        m_retries(retries),
        m_priority(priority),
        m_known_version(known_version),
        m_key(job_key(job.id)),
        m_text(jobs::to_row_text(job)),
        m_deadline(deadline),
        m_write_end(deadline - k_mark_time),
        m_done(std::move(done))
  {
  }

  void write()
  {
    m_sent_at = m_time.now();
    put(m_text, m_unanswered ? m_write_end : m_deadline,
        [self = shared_from_this()](const adapter::transaction_result& result)
        { self->on_written(result); });
  }

  // Writes only a refusal mark.
  void refuse(const std::string& why)
  {
    m_detail = why;
    m_may_be_own_row = false;
    confirm_refusal();
  }

private:
  void finish(const accept_result& result)
  {
    if (m_ticket)
      m_retries.remove(*m_ticket, result.end == accept_outcome::accepted);
    m_done(result);
  }

  void write_later(common::time_point retry_at, common::time_point latest)
  {
    if (!m_ticket)
      m_ticket = m_retries.add(m_priority);
    m_retries.wait(*m_ticket, retry_at, latest, [self = shared_from_this()] { self->write(); });
  }

  // `end`: the latest time for the reply.
  void put(const std::string& text, common::time_point end,
           std::function<void(adapter::transaction_result)> done)
  {
    adapter::transaction change;
    change.conditions.push_back({m_key, m_expected});
    change.puts.push_back({m_key, text});
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - m_time.now());
    m_store.transact(change, std::min(k_write_timeout, left), std::move(done));
  }

  void on_written(const adapter::transaction_result& result)
  {
    switch (result.end)
    {
    case adapter::store_outcome::done:
      finish({accept_outcome::accepted, {}, true, result.version});
      return;
    case adapter::store_outcome::conflict:
      on_conflict(result);
      return;
    case adapter::store_outcome::unavailable:
      if (!m_unanswered)
        m_detail = "the store is not available: " + result.detail;
      retry_write();
      return;
    case adapter::store_outcome::unclear:
      m_unanswered = true;
      m_detail = "the store did not answer: " + result.detail;
      retry_write();
      return;
    default:
      m_detail = "the store did not answer: " + result.detail;
      confirm_refusal();
    }
  }

  // Repeats the write, with the same condition and content: of all copies, including those that the
  // store carries out late, at most one takes effect.
  void retry_write()
  {
    if (m_unanswered)
      retry_unanswered_write();
    else
      retry_rejected_write();
  }

  // No write of this call can take effect any more. The outcome is unknown all the same at the
  // deadline, and not a refusal: writes of earlier calls may still be queued at the store.
  void retry_rejected_write()
  {
    const common::time_point now = m_time.now();
    const common::time_point latest = m_deadline - k_first_retry_delay;
    const common::time_point retry_at = now + next_retry_delay();
    // While the store does not answer, the retry may come before its time.
    if (m_retries.store_failing() && now < latest)
      write_later(retry_at, latest);
    else if (retry_at < m_deadline)
      write_later(retry_at, std::max(retry_at, latest));
    else
      finish({accept_outcome::unknown, m_detail, false, 0});
  }

  // Repeats the write as long as there is time for the refusal mark after it. A write that timed
  // out may still be on its way through a full link, so the next one waits for as long again.
  void retry_unanswered_write()
  {
    const common::time_point now = m_time.now();
    const common::time_point latest = m_write_end - k_first_retry_delay;
    if (latest - now < k_first_retry_delay)
      confirm_refusal();
    else
      write_later(now + std::max(next_retry_delay(), now - m_sent_at), latest);
  }

  common::duration next_retry_delay()
  {
    const common::duration delay = m_retry_delay;
    m_retry_delay = std::min(2 * m_retry_delay, k_max_retry_delay);
    return delay;
  }

  // Another row is present: the same job, or a refusal mark. A mark that was present before the
  // submission arrived may be replaced; a newer one may be the refusal of a later call of the same
  // caller.
  void on_conflict(const adapter::transaction_result& result)
  {
    const auto present = std::find_if(result.conflicting.begin(), result.conflicting.end(),
                                      [](const adapter::row& row) { return !row.value.empty(); });
    if (present == result.conflicting.end())
    {
      m_expected = 0;
      retry_after_conflict();
      return;
    }
    if (present->value != k_refused_text)
    {
      finish({accept_outcome::accepted, "the id was there already",
              m_unanswered && present->value == m_text, present->version});
      return;
    }
    if (present->version > m_known_version)
    {
      finish({accept_outcome::unknown, "another call for it was refused meanwhile", false, 0});
      return;
    }
    m_expected = present->version;
    retry_after_conflict();
  }

  void retry_after_conflict()
  {
    if (++m_conflicts > k_max_conflict_retries)
      finish({accept_outcome::unknown, "the row keeps changing", false, 0});
    else if (m_unanswered && m_write_end - m_time.now() < k_first_retry_delay)
      confirm_refusal();
    else
      write();
  }

  // Any of the writes may have been carried out or may be later, and so may those of other calls
  // for the same id. A refusal is true only once this call has written its mark to the row: the
  // condition of every earlier write fails from then on, whether it requires that there is no row
  // or the version of a mark that has been replaced since. So the job is never written after the
  // first attempt to write the mark.
  void confirm_refusal()
  {
    if (m_time.now() + k_first_retry_delay >= m_deadline)
    {
      finish({accept_outcome::unknown, m_detail, false, 0});
      return;
    }
    put(k_refused_text, m_deadline,
        [self = shared_from_this()](const adapter::transaction_result& result)
        { self->on_refusal_written(result); });
  }

  void on_refusal_written(const adapter::transaction_result& result)
  {
    if (result.end == adapter::store_outcome::done)
    {
      finish({accept_outcome::refused, m_detail, false, 0, row_evidence::marked});
      return;
    }
    if (result.end != adapter::store_outcome::conflict)
    {
      run_after(k_first_retry_delay, [this] { confirm_refusal(); });
      return;
    }
    const auto stored = std::find_if(result.conflicting.begin(), result.conflicting.end(),
                                     [](const adapter::row& row)
                                     { return !row.value.empty() && row.value != k_refused_text; });
    // The row may be an earlier submission's, even of a job that has ended since.
    if (stored != result.conflicting.end())
    {
      finish({accept_outcome::accepted, "settled by reading it back",
              m_may_be_own_row && stored->value == m_text, stored->version});
      return;
    }
    m_expected = result.conflicting.empty() ? 0 : result.conflicting.front().version;
    confirm_refusal();
  }

  void run_after(common::duration delay, std::function<void()> action)
  {
    m_time.schedule(delay, [self = shared_from_this(), action = std::move(action)] { action(); });
  }

  common::timekeeper& m_time;
  adapter::store_client& m_store;
  submission_retries& m_retries;
  std::uint32_t m_priority;                           // of the job's queue
  std::optional<submission_retries::ticket> m_ticket; // once a write has failed
  adapter::row_version m_known_version;
  adapter::row_key m_key;
  std::string m_text;
  common::time_point m_deadline;
  common::time_point m_write_end; // of writes that repeat one without a reply
  std::function<void(accept_result)> m_done;
  adapter::row_version m_expected = 0;
  unsigned m_conflicts = 0;
  std::chrono::milliseconds m_retry_delay = k_first_retry_delay;
  std::string m_detail; // reason for the refusal, if the job is refused
  // A write had no reply: it may have been carried out, or may be later.
  bool m_unanswered = false;
  common::time_point m_sent_at{}; // the latest write
  // Whether a job found in the row may have been stored by this call.
  bool m_may_be_own_row = true;
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
                     const adapter::store_client& feed_store, common::metrics& counts,
                     const jobs::row_limits& limits)
    : m_time(time),
      m_store(store),
      m_feed_store(feed_store),
      m_retries(time, counts),
      m_limits(limits)
{
}

adapter::row_version job_store::newest_known_version() const
{
  return std::max(m_store.newest_row_version(), m_feed_store.newest_row_version());
}

void job_store::accept(const jobs::accepted_job& job, std::uint32_t priority,
                       adapter::row_version known_version, common::time_point deadline,
                       std::function<void(accept_result)> done)
{
  std::make_shared<acceptance>(m_time, m_store, m_retries, priority, known_version, job, deadline,
                               std::move(done))
      ->write();
}

void job_store::refuse(const std::string& id, const std::string& why, common::time_point deadline,
                       std::function<void(accept_result)> done)
{
  jobs::accepted_job job;
  job.id = id;
  // The priority is not used: only submissions wait.
  std::make_shared<acceptance>(m_time, m_store, m_retries, 0, newest_known_version(), job, deadline,
                               std::move(done))
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
