// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/PartitionLoader.h"

#include <algorithm>
#include <set>
#include <utility>

#include "Common/Error.h"
#include "Common/EventLog.h"
#include "Jobs/ProgressRows.h"
#include "Node/JobStore.h"
#include "Node/OwnerRow.h"

namespace yardhill::node
{
namespace
{
constexpr std::chrono::milliseconds k_read_timeout{1500};
// Retries begin quickly, since most failures affect a single call, and then slow down: 32 reads
// that are repeated without a pause keep a saturated link saturated.
constexpr std::chrono::milliseconds k_initial_retry_delay{150};
constexpr std::chrono::milliseconds k_max_retry_delay{1200};

// Whether runs of a job may go on after its end. Of a completed job that holds for the members of a
// gang, of which one has ended as done, and for copies of tasks.
bool runs_may_outlive(const jobs::job_spec& spec, jobs::job_state end)
{
  return end != jobs::job_state::completed ||
         std::any_of(spec.steps.begin(), spec.steps.end(),
                     [](const jobs::step_spec& step) { return step.gang || step.speculative; });
}
} // namespace

partition_loader::range_reader::range_reader(common::timekeeper& time, adapter::row_range to_read)
    : range(std::move(to_read)), retry(time), delay(k_initial_retry_delay)
{
}

partition_loader::partition_loader(common::timekeeper& time, adapter::store_client& store,
                                   const store_clock& clock, std::string partition,
                                   loaded_handler done)
    : m_time(time),
      m_store(store),
      m_clock(clock),
      m_partition(std::move(partition)),
      m_done(std::move(done))
{
  // The commit row is read before all others: from then on only this owner commits.
  add_range({k_commits_table, m_partition, {}, {}, 1});
  add_range({k_claims_table, m_partition, {}, {}, 500});
  add_range({k_progress_table, m_partition, {}, {}, 500});
  for (const std::string& part : job_parts())
    add_range({k_jobs_table, part, {}, {}, 500});
}

void partition_loader::add_range(adapter::row_range range)
{
  m_readers.push_back(std::make_unique<range_reader>(m_time, std::move(range)));
}

void partition_loader::start()
{
  m_unfinished = m_readers.size();
  m_loaded.read_began = m_time.now();
  read(*m_readers.front());
}

void partition_loader::abandon()
{
  m_abandoned = true;
  for (const auto& each : m_readers)
    each->retry.cancel();
}

void partition_loader::read(range_reader& reader)
{
  m_store.read(reader.range, m_store.patience(k_read_timeout),
               [self = shared_from_this(), &reader](const adapter::rows_result& result)
               {
                 if (!self->m_abandoned)
                   self->on_page(reader, result);
               });
}

void partition_loader::on_page(range_reader& reader, const adapter::rows_result& result)
{
  if (result.end != adapter::store_outcome::done)
  {
    common::log_process("partition_read_failed", {{"partition", m_partition},
                                                  {"table", reader.range.table},
                                                  {"end", adapter::to_text(result.end)},
                                                  {"detail", result.detail}});
    reader.retry.start(reader.delay, [this, &reader] { read(reader); });
    reader.delay = std::min(reader.delay * 2, k_max_retry_delay);
    return;
  }
  reader.delay = k_initial_retry_delay;
  if (m_loaded.read_version == 0)
    m_loaded.read_version = result.version;
  for (const adapter::row& row : result.rows)
    add_row(row);
  if (!result.more || result.rows.empty() || reader.range.most == 1)
  {
    on_range_read();
    return;
  }
  // Continues at the next key in byte order.
  reader.range.first = result.rows.back().at.key + std::string(1, '\x01');
  read(reader);
}

void partition_loader::on_range_read()
{
  const bool first = m_unfinished == m_readers.size();
  --m_unfinished;
  if (m_unfinished == 0)
    m_done(take_result());
  for (std::size_t i = 1; first && i < m_readers.size(); ++i)
    read(*m_readers[i]);
}

void partition_loader::add_row(const adapter::row& row)
{
  if (row.at.table == k_commits_table)
  {
    m_loaded.commit_version = row.version;
    if (const auto commit = commit_row_from(row.value))
      m_loaded.commit_number = commit->number;
    return;
  }
  if (row.at.table == k_claims_table)
  {
    if (const auto claim = worker_claim_from(row.value, m_clock))
      m_loaded.claims[common::worker_id(row.at.key)] = *claim;
    else
      common::log_process("row_damaged", {{"table", row.at.table},
                                          {"key", row.at.key},
                                          {"error", common::to_text(claim.error())}});
    return;
  }
  if (row.at.table == k_progress_table)
  {
    auto progress = common::parsed("read_progress", row.at.key,
                                   [&row] { return jobs::job_progress_from(row.value); });
    const auto continued = jobs::continued_job(row.at.key);
    if (progress && continued)
      m_continuations[*continued].push_back(*std::move(progress));
    else if (progress)
      m_loaded.progress[row.at.key] = *std::move(progress);
    else
      common::log_request("row_damaged", row.at.key, {{"error", to_text(progress.error())}});
    return;
  }
  auto stored_row = job_row_from(row);
  if (!stored_row)
    return;
  if (std::holds_alternative<cancel_mark>(stored_row->content))
    m_loaded.cancelled.push_back(stored_row->id);
  auto* const job = std::get_if<jobs::accepted_job>(&stored_row->content);
  if (job == nullptr || !runs_in(*job, m_partition))
    return;
  m_loaded.jobs.push_back({std::move(*job), row.version});
}

// A job that has ended, perhaps under an owner that does not know continuation rows, needs none.
void partition_loader::join_continuations()
{
  for (const auto& [id, rows] : m_continuations)
  {
    const auto first = m_loaded.progress.find(id);
    if (first == m_loaded.progress.end() || jobs::is_final(first->second.state))
    {
      for (std::size_t i = 1; i <= rows.size(); ++i)
        m_loaded.unneeded_progress.push_back(jobs::continuation_key(id, i));
      continue;
    }
    for (const jobs::job_progress& each : rows)
      jobs::add_continuation(first->second, each);
    first->second.continuation_rows = rows.size();
  }
}

loaded_partition partition_loader::take_result()
{
  join_continuations();
  // Jobs of all partitions, whose rows other owners still need unless the job is cancelled.
  std::set<std::string> shared_jobs;
  for (const loaded_partition::stored_job& each : m_loaded.jobs)
  {
    if (each.job.home == jobs::k_every_partition)
      shared_jobs.insert(each.job.id);
  }
  std::erase_if(m_loaded.jobs,
                [this](loaded_partition::stored_job& each)
                {
                  const auto progress = m_loaded.progress.find(each.job.id);
                  if (progress == m_loaded.progress.end() ||
                      !jobs::is_final(progress->second.state))
                    return false;
                  if (runs_may_outlive(each.job.spec, progress->second.state))
                    m_loaded.still_stopping.push_back(std::move(each.job));
                  return true;
                });
  for (const auto& [id, progress] : m_loaded.progress)
  {
    if (jobs::is_final(progress.state) &&
        (!shared_jobs.contains(id) || progress.state == jobs::job_state::cancelled))
      m_loaded.ended.push_back(id);
  }
  return std::move(m_loaded);
}
} // namespace yardhill::node
