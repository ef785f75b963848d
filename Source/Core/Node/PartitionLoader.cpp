// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/PartitionLoader.h"

#include <utility>

#include "Common/Error.h"
#include "Common/EventLog.h"
#include "Node/JobStore.h"
#include "Node/OwnerRow.h"

namespace yardhill::node
{
namespace
{
constexpr std::chrono::milliseconds k_read_timeout{1500};
constexpr std::chrono::milliseconds k_retry{150};
} // namespace

partition_loader::partition_loader(common::timekeeper& time, adapter::store_client& store,
                                   std::string partition, loaded_handler done)
    : m_timer(time), m_store(store), m_partition(std::move(partition)), m_done(std::move(done))
{
  // The commit's row comes first: from then on only this owner commits.
  m_ranges.push_back({k_commits_table, m_partition, {}, {}, 1});
  m_ranges.push_back({k_claims_table, m_partition, {}, {}, 500});
  m_ranges.push_back({k_progress_table, m_partition, {}, {}, 500});
  for (const std::string& part : job_parts())
    m_ranges.push_back({k_jobs_table, part, {}, {}, 500});
}

void partition_loader::start()
{
  read();
}

void partition_loader::abandon()
{
  m_abandoned = true;
  m_timer.cancel();
}

void partition_loader::read()
{
  adapter::row_range range = m_ranges[m_at];
  range.first = m_first_key;
  m_store.read(range, k_read_timeout,
               [self = shared_from_this()](const adapter::rows_result& result)
               {
                 if (!self->m_abandoned)
                   self->on_page(result);
               });
}

void partition_loader::on_page(const adapter::rows_result& result)
{
  if (result.end != adapter::store_end::done)
  {
    common::log_process("partition_read_failed", {{"partition", m_partition},
                                                  {"table", m_ranges[m_at].table},
                                                  {"end", adapter::to_text(result.end)},
                                                  {"detail", result.detail}});
    m_timer.start(k_retry, [this] { read(); });
    return;
  }
  if (m_loaded.read_at == 0)
    m_loaded.read_at = result.version;
  for (const adapter::row& row : result.rows)
    take(row);
  const bool more = result.more && !result.rows.empty() && m_ranges[m_at].most > 1;
  m_first_key = more ? result.rows.back().at.key + std::string(1, '\x01') : std::string();
  if (!more)
    ++m_at;
  if (m_at < m_ranges.size())
    read();
  else
    m_done(std::move(m_loaded));
}

void partition_loader::take(const adapter::row& row)
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
    if (const auto claim = worker_claim_from(row.value))
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
    if (progress)
      m_loaded.progress[row.at.key] = *std::move(progress);
    else
      common::log_request("row_damaged", row.at.key, {{"error", to_text(progress.error())}});
    return;
  }
  auto kept = job_row_from(row);
  if (!kept)
    return;
  if (std::holds_alternative<cancel_mark>(kept->content))
    m_loaded.cancelled.push_back(kept->id);
  auto* const job = std::get_if<jobs::accepted_job>(&kept->content);
  if (job == nullptr || job->home != m_partition)
    return;
  const auto progress = m_loaded.progress.find(job->id);
  if (progress == m_loaded.progress.end() || !jobs::is_final(progress->second.state))
    m_loaded.jobs.push_back({std::move(*job), row.version});
}
} // namespace yardhill::node
