// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/CommitWriter.h"

#include <algorithm>
#include <utility>

#include "Common/EventLog.h"

namespace yardhill::node
{
namespace
{
// The store answers in 4 ms, and in 240 ms while it is sixty times slower.
constexpr std::chrono::milliseconds k_commit_timeout{900};
constexpr std::chrono::milliseconds k_retry_pause{200};

adapter::row_key commit_key(const std::string& partition)
{
  return {k_commits_table, partition, k_commit_key};
}
} // namespace

adapter::row_key owner_key(const std::string& partition)
{
  return {k_owners_table, partition, k_owner_key};
}

const adapter::row* find_row(const std::vector<adapter::row>& rows, const char* table)
{
  const auto found = std::find_if(rows.begin(), rows.end(),
                                  [table](const adapter::row& row)
                                  { return row.at.table == table && row.version != 0; });
  return found == rows.end() ? nullptr : &*found;
}

commit_writer::commit_writer(common::timekeeper& time, adapter::store_client& store,
                             const store_clock& clock, common::metrics& counts,
                             std::string partition, std::string incarnation,
                             commit_handlers handlers)
    : m_time(time),
      m_store(store),
      m_clock(clock),
      m_metrics(counts),
      m_partition(std::move(partition)),
      m_incarnation(std::move(incarnation)),
      m_handlers(std::move(handlers)),
      m_retry_timer(time),
      m_alive(std::make_shared<int>(0))
{
}

commit_writer::~commit_writer() = default;

bool commit_writer::has_in_flight(const std::string& job) const
{
  return m_pending && m_pending->commit.batch.rows.contains(job);
}

void commit_writer::write(scheduling::commit_batch batch, std::optional<owner_row> owner)
{
  pending next;
  next.number = m_position.number + 1;
  adapter::transaction& change = next.change;
  change.conditions.push_back({owner_key(m_partition), m_position.owner_version});
  change.conditions.push_back({commit_key(m_partition), m_position.commit_version});
  change.puts.push_back(
      {commit_key(m_partition), to_row_text(commit_row{m_incarnation, next.number})});
  for (const auto& [id, text] : batch.rows)
    change.puts.push_back({{k_progress_table, m_partition, id}, text});
  for (const auto& [key, text] : batch.continuations)
    change.puts.push_back({{k_progress_table, m_partition, key}, text});
  for (const std::string& key : batch.removed_continuations)
    change.removals.push_back({k_progress_table, m_partition, key});
  for (const auto& [id, claim] : batch.claims)
    change.puts.push_back({{k_claims_table, m_partition, id.value}, to_row_text(claim, m_clock)});
  for (const common::worker_id& id : batch.releases)
    change.removals.push_back({k_claims_table, m_partition, id.value});
  if (owner)
    change.puts.push_back({owner_key(m_partition), to_row_text(*owner)});
  next.commit.batch = std::move(batch);
  next.commit.owner = std::move(owner);
  m_pending = std::move(next);
  send();
}

void commit_writer::send()
{
  m_pending->commit.sent = m_time.now();
  m_pending->first_sent = std::min(m_pending->first_sent, m_pending->commit.sent);
  m_store.transact(
      m_pending->change, k_commit_timeout,
      [this, alive = std::weak_ptr<int>(m_alive)](const adapter::transaction_result& result)
      {
        if (!alive.expired())
          on_reply(result);
      });
}

void commit_writer::on_reply(const adapter::transaction_result& result)
{
  if (result.end == adapter::store_outcome::done)
  {
    on_committed(result.version);
    return;
  }
  if (result.end == adapter::store_outcome::conflict)
  {
    on_conflict(result);
    return;
  }
  if (result.end == adapter::store_outcome::malformed)
  {
    on_refused(result.detail);
    return;
  }
  common::log_process("commit_unanswered", {{"partition", m_partition},
                                            {"number", m_pending->number},
                                            {"end", adapter::to_text(result.end)},
                                            {"detail", result.detail}});
  m_metrics.add(common::retry_reason::store_unavailable);
  retry();
}

void commit_writer::on_conflict(const adapter::transaction_result& result)
{
  m_metrics.add(common::retry_reason::store_conflict);
  const adapter::row* const owner = find_row(result.conflicting, k_owners_table);
  const adapter::row* const last_commit = find_row(result.conflicting, k_commits_table);
  const auto current_owner = owner == nullptr ? common::result<owner_row>(common::new_error({}))
                                              : owner_row_from(owner->value);
  // An earlier copy of this commit may have been carried out, but that proves nothing if another
  // instance has taken over since.
  if (!current_owner || current_owner->life != m_incarnation)
  {
    // The handler may destroy this writer.
    const auto replaced = m_handlers.replaced;
    replaced(owner == nullptr ? adapter::row{} : *owner);
    return;
  }
  const auto committed = last_commit == nullptr ? common::result<commit_row>(common::new_error({}))
                                                : commit_row_from(last_commit->value);
  if (committed && committed->life == m_incarnation && committed->number == m_pending->number)
  {
    // Other instances count the ownership from when the earlier copy was carried out.
    m_pending->commit.sent = m_pending->first_sent;
    on_committed(last_commit->version);
    return;
  }
  common::log_process("commit_conditions_stale", {{"partition", m_partition},
                                                  {"owner_version", owner->version},
                                                  {"expected", m_position.owner_version}});
  m_position.owner_version = owner->version;
  m_position.commit_version = last_commit == nullptr ? 0 : last_commit->version;
  m_pending->change.conditions[0].version = m_position.owner_version;
  m_pending->change.conditions[1].version = m_position.commit_version;
  retry();
}

void commit_writer::on_committed(adapter::row_version version)
{
  pending written = *std::exchange(m_pending, std::nullopt);
  written.commit.version = version;
  m_position.number = written.number;
  m_position.commit_version = version;
  if (written.commit.owner)
    m_position.owner_version = version;
  m_metrics.record(common::timing::store_latency, m_time.now() - written.commit.sent);
  // The handler may destroy this writer.
  const auto handler = m_handlers.written;
  handler(written.commit);
}

void commit_writer::on_refused(const std::string& detail)
{
  const pending refused = *std::exchange(m_pending, std::nullopt);
  // The number is not used again: an earlier copy without a reply may have been carried out.
  m_position.number = refused.number;
  m_metrics.add(common::counter::commits_refused);
  common::log_process("commit_refused", {{"partition", m_partition},
                                         {"number", refused.number},
                                         {"parts", refused.commit.batch.parts()},
                                         {"bytes", refused.commit.batch.bytes()},
                                         {"renewal", refused.commit.owner.has_value()},
                                         {"detail", detail}});
  // The handler may destroy this writer.
  const auto handler = m_handlers.refused;
  handler(refused.commit.batch);
}

void commit_writer::retry()
{
  m_retry_timer.start(k_retry_pause, [this] { send(); });
}
} // namespace yardhill::node
