// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/JobIntake.h"

#include <algorithm>
#include <utility>

#include "Common/Error.h"
#include "Common/EventLog.h"
#include "Node/JobStore.h"

namespace yardhill::node
{
namespace
{
// How many cancellations of unknown jobs are remembered; about 200 KB when full. Cancellations of
// jobs that have ended are among them. A job arrives at most seconds after its cancellation.
constexpr std::size_t k_max_early_cancellations = 4096;
} // namespace

job_intake::job_intake(common::timekeeper& time, adapter::store_client& feed_store,
                       const store_clock& clock, std::string partition,
                       scheduling::fencing_token token, std::function<void()> changed)
    : m_time(time),
      m_feed_store(feed_store),
      m_clock(clock),
      m_partition(std::move(partition)),
      m_token(token),
      m_on_change(std::move(changed))
{
}

job_intake::~job_intake()
{
  if (m_loader)
    m_loader->abandon();
}

void job_intake::begin(scheduling::job_scheduler& scheduler, const loaded_partition& loaded)
{
  m_scheduler = &scheduler;
  m_read_version = loaded.read_version;
  m_complete_until = loaded.read_began;
  add_loaded(loaded);
}

common::time_point job_intake::known_until() const
{
  return m_feed ? std::max(m_complete_until, m_feed->known_until()) : m_complete_until;
}

void job_intake::add_loaded(const loaded_partition& loaded)
{
  const common::time_point now = m_time.now();
  for (const loaded_partition::stored_job& each : loaded.jobs)
  {
    if (m_scheduler->knew(each.job.id))
      continue;
    const auto progress = loaded.progress.find(each.job.id);
    // No owner has started a job that was stored after the takeover.
    if (each.version > m_token)
      m_scheduler->add_job(each.job, now);
    else if (progress == loaded.progress.end())
      m_scheduler->restore_job(each.job, std::nullopt, now);
    else
      m_scheduler->restore_job(each.job, progress->second, now);
    apply_early_cancellation(each.job.id);
  }
  for (const std::string& id : loaded.cancelled)
    m_scheduler->cancel_job(id, now);
  for (const jobs::accepted_job& job : loaded.still_stopping)
    m_scheduler->restore_ended_job(job);
}

void job_intake::follow_feed()
{
  feed_handlers handlers;
  handlers.changed = [this](const std::vector<adapter::row>& rows) { on_rows(rows); };
  handlers.expired = [this] { reload(); };
  m_feed = std::make_unique<table_feed>(m_time, m_feed_store, k_jobs_table, job_parts(),
                                        std::move(handlers));
  m_feed->start_after(m_read_version);
}

void job_intake::ask_again()
{
  if (m_feed)
    m_feed->ask_again();
}

// The feed has lost part of the history and cannot say which changes it missed, so all rows are
// read again. Jobs that are known here stay as they are.
void job_intake::reload()
{
  m_complete_until = known_until();
  // Otherwise ask_again() could make the feed send a request, which could start a second reload
  // beside this one.
  m_feed.reset();
  m_loader = std::make_shared<partition_loader>(m_time, m_feed_store, m_clock, m_partition,
                                                [this](const loaded_partition& loaded)
                                                {
                                                  add_loaded(loaded);
                                                  m_read_version = loaded.read_version;
                                                  m_complete_until =
                                                      std::max(m_complete_until, loaded.read_began);
                                                  follow_feed();
                                                  m_on_change();
                                                });
  m_loader->start();
}

void job_intake::on_rows(const std::vector<adapter::row>& rows)
{
  for (const adapter::row& row : rows)
  {
    if (row.removed)
      continue;
    const auto stored_row = job_row_from(row);
    if (!stored_row)
      continue;
    if (std::holds_alternative<cancel_mark>(stored_row->content))
      job_cancelled(stored_row->id);
    else if (const auto* job = std::get_if<jobs::accepted_job>(&stored_row->content))
      job_stored(*job, row.version);
  }
}

void job_intake::on_notice(const common::job_notice& notice)
{
  if (notice.row.empty())
  {
    job_cancelled(notice.id);
    return;
  }
  const auto job =
      common::parsed("read_job_notice", notice.id,
                     [&notice] { return jobs::accepted_job_from(notice.id, notice.row); });
  if (job)
    job_stored(*job, notice.version);
  else
    common::log_request("notice_damaged", notice.id, {{"error", common::to_text(job.error())}});
}

void job_intake::job_stored(const jobs::accepted_job& job, adapter::row_version version)
{
  if (m_scheduler == nullptr || version <= m_read_version || !runs_in(job, m_partition) ||
      m_scheduler->knew(job.id))
    return;
  m_scheduler->add_job(job, m_time.now());
  apply_early_cancellation(job.id);
  m_on_change();
}

void job_intake::job_cancelled(const std::string& id)
{
  if (m_scheduler != nullptr && m_scheduler->knows(id))
  {
    m_scheduler->cancel_job(id, m_time.now());
    m_on_change();
    return;
  }
  if (!m_cancelled_early.insert(id).second)
    return;
  m_cancelled_early_order.push_back(id);
  if (m_cancelled_early_order.size() <= k_max_early_cancellations)
    return;
  m_cancelled_early.erase(m_cancelled_early_order.front());
  m_cancelled_early_order.pop_front();
}

void job_intake::apply_early_cancellation(const std::string& id)
{
  if (m_cancelled_early.contains(id))
    m_scheduler->cancel_job(id, m_time.now());
}
} // namespace yardhill::node
