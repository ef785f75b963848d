// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/PartitionLoader.h"

#include <algorithm>
#include <set>
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
// Retries begin quickly, since most failures are one call's, and slow down: 32 readings that are
// repeated without a pause over a full link keep it full.
constexpr std::chrono::milliseconds k_retry_first{150};
constexpr std::chrono::milliseconds k_retry_most{1200};
} // namespace

partition_loader::reading::reading(common::timekeeper& time, adapter::row_range what)
    : range(std::move(what)), retry(time), delay(k_retry_first)
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
  // The commit's row comes first: from then on only this owner commits.
  add({k_commits_table, m_partition, {}, {}, 1});
  add({k_claims_table, m_partition, {}, {}, 500});
  add({k_progress_table, m_partition, {}, {}, 500});
  for (const std::string& part : job_parts())
    add({k_jobs_table, part, {}, {}, 500});
}

void partition_loader::add(adapter::row_range range)
{
  m_readings.push_back(std::make_unique<reading>(m_time, std::move(range)));
}

void partition_loader::start()
{
  m_open = m_readings.size();
  m_loaded.read_from = m_time.now();
  read(*m_readings.front());
}

void partition_loader::abandon()
{
  m_abandoned = true;
  for (const auto& each : m_readings)
    each->retry.cancel();
}

void partition_loader::read(reading& which)
{
  m_store.read(which.range, m_store.patience(k_read_timeout),
               [self = shared_from_this(), &which](const adapter::rows_result& result)
               {
                 if (!self->m_abandoned)
                   self->on_page(which, result);
               });
}

void partition_loader::on_page(reading& which, const adapter::rows_result& result)
{
  if (result.end != adapter::store_outcome::done)
  {
    common::log_process("partition_read_failed", {{"partition", m_partition},
                                                  {"table", which.range.table},
                                                  {"end", adapter::to_text(result.end)},
                                                  {"detail", result.detail}});
    which.retry.start(which.delay, [this, &which] { read(which); });
    which.delay = std::min(which.delay * 2, k_retry_most);
    return;
  }
  which.delay = k_retry_first;
  if (m_loaded.read_at == 0)
    m_loaded.read_at = result.version;
  for (const adapter::row& row : result.rows)
    take(row);
  if (!result.more || result.rows.empty() || which.range.most == 1)
  {
    on_range_read();
    return;
  }
  // The next key in byte order.
  which.range.first = result.rows.back().at.key + std::string(1, '\x01');
  read(which);
}

void partition_loader::on_range_read()
{
  const bool first = m_open == m_readings.size();
  --m_open;
  if (m_open == 0)
    m_done(loaded());
  for (std::size_t i = 1; first && i < m_readings.size(); ++i)
    read(*m_readings[i]);
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
  if (job == nullptr || !runs_in(*job, m_partition))
    return;
  m_loaded.jobs.push_back({std::move(*job), row.version});
}

loaded_partition partition_loader::loaded()
{
  std::set<std::string> shared; // whose rows others still need, unless they are cancelled
  for (const loaded_partition::kept_job& each : m_loaded.jobs)
  {
    if (each.job.home == jobs::k_every_partition)
      shared.insert(each.job.id);
  }
  std::erase_if(m_loaded.jobs,
                [this](const loaded_partition::kept_job& each)
                {
                  const auto progress = m_loaded.progress.find(each.job.id);
                  return progress != m_loaded.progress.end() &&
                         jobs::is_final(progress->second.state);
                });
  for (const auto& [id, progress] : m_loaded.progress)
  {
    if (jobs::is_final(progress.state) &&
        (!shared.contains(id) || progress.state == jobs::job_state::cancelled))
      m_loaded.ended.push_back(id);
  }
  return std::move(m_loaded);
}
} // namespace yardhill::node
