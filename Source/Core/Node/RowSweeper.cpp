// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/RowSweeper.h"

#include <algorithm>

#include "Common/EventLog.h"
#include "Node/JobStore.h"
#include "Node/OwnerRow.h"

namespace yardhill::node
{
namespace
{
constexpr std::chrono::milliseconds k_remove_timeout{900};
// Removal is not urgent: while the store is unavailable, it is attempted at this interval.
constexpr std::chrono::seconds k_retry_interval{5};
// Two rows per job, of the 100 entries that a transaction may have.
constexpr std::size_t k_max_jobs = 45;
constexpr std::size_t k_max_rows = 2 * k_max_jobs;
} // namespace

row_sweeper::row_sweeper(common::timekeeper& time, adapter::store_client& store,
                         std::string partition, common::duration retention)
    : m_time(time),
      m_store(store),
      m_partition(std::move(partition)),
      m_retention(retention),
      m_alive(std::make_shared<int>(0))
{
}

row_sweeper::~row_sweeper() = default;

void row_sweeper::add_ended(const std::vector<std::string>& ids)
{
  for (const std::string& id : ids)
    m_ended.emplace_back(m_time.now(), id);
}

void row_sweeper::add_unneeded_progress(const std::vector<std::string>& keys)
{
  m_unneeded.insert(m_unneeded.end(), keys.begin(), keys.end());
}

// Removes rows of one part together, since a transaction over several parts takes twice as long.
void row_sweeper::tick()
{
  const common::time_point now = m_time.now();
  if (m_busy || now < m_next_attempt)
    return;
  if (!m_unneeded.empty())
  {
    remove_unneeded_progress();
    return;
  }
  if (m_ended.empty() || now - m_ended.front().first < m_retention)
    return;
  const std::string part = job_part(m_ended.front().second);
  std::vector<std::string> ids;
  for (auto each = m_ended.begin(); each != m_ended.end() && now - each->first >= m_retention;)
  {
    if (ids.size() == k_max_jobs || job_part(each->second) != part)
    {
      ++each;
      continue;
    }
    ids.push_back(std::move(each->second));
    each = m_ended.erase(each);
  }
  remove_jobs(ids);
}

void row_sweeper::remove_unneeded_progress()
{
  const std::size_t count = std::min(m_unneeded.size(), k_max_rows);
  const std::vector<std::string> keys(m_unneeded.begin(),
                                      m_unneeded.begin() + static_cast<std::ptrdiff_t>(count));
  adapter::transaction change;
  for (const std::string& key : keys)
    change.removals.push_back({k_progress_table, m_partition, key});
  m_busy = true;
  m_store.transact(
      change, k_remove_timeout,
      [this, count, alive = std::weak_ptr<int>(m_alive)](const adapter::transaction_result& result)
      {
        if (alive.expired())
          return;
        m_busy = false;
        if (result.end == adapter::store_outcome::done)
          m_unneeded.erase(m_unneeded.begin(),
                           m_unneeded.begin() + static_cast<std::ptrdiff_t>(count));
        else
          m_next_attempt = m_time.now() + k_retry_interval;
      });
}

void row_sweeper::remove_jobs(const std::vector<std::string>& ids)
{
  adapter::transaction change;
  for (const std::string& id : ids)
  {
    change.removals.push_back(job_key(id));
    change.removals.push_back(cancel_key(id));
  }
  send(std::move(change), ids, &row_sweeper::remove_progress);
}

void row_sweeper::remove_progress(const std::vector<std::string>& ids)
{
  adapter::transaction change;
  for (const std::string& id : ids)
    change.removals.push_back({k_progress_table, m_partition, id});
  send(std::move(change), ids, &row_sweeper::on_removed);
}

void row_sweeper::send(adapter::transaction change, const std::vector<std::string>& ids,
                       void (row_sweeper::*next)(const std::vector<std::string>&))
{
  m_busy = true;
  m_store.transact(change, k_remove_timeout,
                   [this, ids, next,
                    alive = std::weak_ptr<int>(m_alive)](const adapter::transaction_result& result)
                   {
                     if (alive.expired())
                       return;
                     if (result.end == adapter::store_outcome::done)
                     {
                       (this->*next)(ids);
                       return;
                     }
                     m_busy = false;
                     m_next_attempt = m_time.now() + k_retry_interval;
                     for (const std::string& id : ids)
                       m_ended.emplace_front(m_time.now() - m_retention, id);
                   });
}

void row_sweeper::on_removed(const std::vector<std::string>& ids)
{
  m_busy = false;
  common::log_process("rows_removed", {{"partition", m_partition}, {"jobs", ids.size()}});
}
} // namespace yardhill::node
