// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// An owner's commits: one at a time, each under the condition that nobody else wrote in between.

#include "Node/PartitionOwner.h"

#include <algorithm>
#include <utility>

#include "Common/EventLog.h"

namespace yardhill::node
{
owner_row partition_owner::next_row(bool release)
{
  ++m_row.renewal;
  owner_row row = m_row;
  if (release)
    row.holder.clear();
  const scheduling::partition_load load = m_scheduler->load();
  row.pending = load.pending;
  row.counted_at = m_parts.clock.earliest_at(m_intake->known_until());
  // Once in an ownership: watchers reckon with one such renewal (owner_watch::predecessors_end).
  m_has_told_counts = m_has_told_counts || m_intake->caught_up();
  row.waiting_cpu = load.waiting_cpu;
  row.free_cpu = load.free_cpu;
  row.start_waits = m_scheduler->start_waits(m_parts.time.now());
  row.largest = m_parts.capacities.largest();
  row.labels = load.labels;
  row.earlier_orders_end = m_parts.clock.latest_at(m_earlier.end());
  m_parts.metrics.set(common::gauge::queued, load.queued_jobs());
  m_parts.metrics.set(common::gauge::active, load.open_jobs - load.queued_jobs());
  m_parts.metrics.set(common::gauge::workers_usable, load.usable_workers);
  return row;
}

void partition_owner::start_commits(const loaded_partition& loaded)
{
  m_commits = std::make_unique<commit_writer>(
      m_parts.time, m_parts.store, m_parts.clock, m_parts.metrics, m_partition, m_self.life,
      commit_handlers{[this](const written_commit& commit) { on_written(commit); },
                      [this](const adapter::row& owner) { on_replaced(owner); }});
  m_commits->begin({m_token, loaded.commit_version, loaded.commit_number});
}

bool partition_owner::counts_due() const
{
  return !m_has_told_counts && m_intake->caught_up();
}

void partition_owner::pump_commits(common::time_point now)
{
  if (m_commits->busy())
    return;
  // The first one is waited for: orders begin with it.
  const bool renew =
      m_row.renewal == 0 || counts_due() || now - m_last_renewal >= m_options.renew_period;
  const bool spaced = now - m_last_commit >= m_options.commit_spacing;
  const bool stronger = m_better_owner.stronger_for_long(now);
  if (!m_releasing &&
      (m_stopping || stronger || m_better_owner.reached_through_peers(now, m_last_written)))
  {
    m_releasing = true;
    m_scheduler->end_placing();
    common::log_process(
        "partition_release",
        {{"partition", m_partition}, {"stop", m_stopping}, {"stronger_peer", stronger}});
  }
  if (!renew && !(spaced && m_scheduler->has_changes(now)) && !m_releasing)
    return;
  m_last_commit = now;
  scheduling::commit_batch batch = m_scheduler->take_commit(m_options.most_commit_rows, now);
  // What comes while this commit is on its way is kept for the next owner: ends stay with their
  // workers, jobs and cancellations with the store. Under load there is always something.
  const bool release = m_releasing && batch.complete;
  std::optional<owner_row> row;
  if (renew || release)
    row = next_row(release);
  m_commits->write(std::move(batch), std::move(row));
}

void partition_owner::on_written(const written_commit& commit)
{
  m_last_written = m_parts.time.now();
  // Only the owner's own commits meet its row, so their versions are tokens of this owner as well.
  m_scheduler->token_given(commit.version);
  m_scheduler->commit_done(commit.batch, true);
  if (commit.owner)
  {
    m_last_renewal = commit.sent;
    // The feed shows it later, or not at all.
    m_watch.written(*commit.owner, commit.version);
    m_scheduler->allow_starts();
  }
  // Other instances go by the renewals alone. A commit that was written late proves no more to
  // them.
  const common::time_point word = std::min(commit.sent, m_last_renewal + m_options.renew_period);
  m_scheduler->set_authority(word + m_options.authority, m_last_renewal);
  if (commit.owner && commit.owner->holder.empty())
    lose("given back");
  else
    step_soon();
}

void partition_owner::on_replaced(const adapter::row& owner)
{
  if (!owner.value.empty())
    owner_row_changed(owner);
  if (owns())
    lose("a commit met another owner's row");
}
} // namespace yardhill::node
