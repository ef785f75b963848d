// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Commits of a partition's owner: one at a time, each conditional on no other write in between.

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
  row.counted_at = m_dependencies.clock.earliest_store_time(m_intake->known_until());
  // Reported for the first time once per ownership: watchers allow for one such early renewal
  // (owner_watch::predecessors_requests_end).
  m_has_reported_counts = m_has_reported_counts || m_intake->caught_up();
  row.waiting_cpu = load.waiting_cpu;
  row.free_cpu = load.free_cpu;
  row.start_waits = m_scheduler->start_waits(m_dependencies.time.now());
  row.largest = m_dependencies.capacities.largest();
  row.labels = load.labels;
  row.previous_requests_end = m_dependencies.clock.latest_store_time(m_previous_requests.end());
  m_dependencies.metrics.set(common::gauge::queued, load.queued_jobs());
  m_dependencies.metrics.set(common::gauge::active, load.open_jobs - load.queued_jobs());
  m_dependencies.metrics.set(common::gauge::workers_usable, load.usable_workers);
  return row;
}

void partition_owner::start_commits(const loaded_partition& loaded)
{
  m_commits = std::make_unique<commit_writer>(
      m_dependencies.time, m_dependencies.store, m_dependencies.clock, m_dependencies.metrics,
      m_partition, m_self.incarnation,
      commit_handlers{[this](const written_commit& commit) { on_written(commit); },
                      [this](const adapter::row& owner) { on_replaced(owner); },
                      [this](const scheduling::commit_batch& batch) { on_refused(batch); }});
  m_commits->begin({m_token, loaded.commit_version, loaded.commit_number});
}

bool partition_owner::job_counts_due() const
{
  return !m_has_reported_counts && m_intake->caught_up();
}

void partition_owner::commit_if_due(common::time_point now)
{
  if (m_commits->busy() || now < m_commits_paused_until)
    return;
  // The first renewal is due at once, since the owner sends no requests to workers before it is
  // written.
  const bool renew = m_row.renewal == 0 || job_counts_due() || m_isolation.wants_renewal() ||
                     now - m_last_renewal >= m_options.renew_period;
  const bool spacing_passed = now - m_last_commit >= m_options.commit_spacing;
  const bool stronger = m_handover_policy.stronger_peer_for_long(now);
  if (!m_releasing && (m_stopping || stronger ||
                       m_handover_policy.store_reached_through_peers(now, m_last_written)))
  {
    m_releasing = true;
    m_scheduler->end_placing();
    common::log_process(
        "partition_release",
        {{"partition", m_partition}, {"stop", m_stopping}, {"stronger_peer", stronger}});
  }
  if (!renew && !(spacing_passed && m_scheduler->has_changes(now)) && !m_releasing)
    return;
  m_last_commit = now;
  scheduling::commit_batch batch;
  if (!m_isolation.active())
    batch = m_scheduler->take_commit(m_options.max_commit_rows, now);
  else if (!renew)
    batch = m_scheduler->take_commit(m_isolation.limit(), now);
  // A release does not wait for changes that arrive while its commit is in flight, because under
  // load there are always some. They are kept for the next owner: ends of runs by the workers, jobs
  // and cancellations by the store.
  const bool release =
      m_releasing && batch.complete && (!m_isolation.active() || batch.size() == 0);
  std::optional<owner_row> row;
  if (renew || release)
    row = next_row(release);
  m_commits->write(std::move(batch), std::move(row));
}

void partition_owner::on_written(const written_commit& commit)
{
  m_last_written = m_dependencies.time.now();
  // Only the owner's own commits satisfy the condition on its row, so the versions of these commits
  // are fencing tokens of this owner as well.
  m_scheduler->token_given(commit.version);
  m_scheduler->commit_done(commit.batch, true);
  m_isolation.written(commit.batch.parts());
  if (commit.owner)
  {
    m_last_renewal = commit.sent;
    // The feed shows this row later, or not at all.
    m_watch.row_written(*commit.owner, commit.version);
    m_scheduler->allow_starts();
  }
  // Other instances judge by the renewals alone. A commit without a renewal that was written late
  // proves nothing more to them, so it extends the authority by no more than a renewal period after
  // the latest renewal.
  const common::time_point confirmed_at =
      std::min(commit.sent, m_last_renewal + m_options.renew_period);
  m_scheduler->set_authority(confirmed_at + m_options.authority, m_last_renewal);
  if (commit.owner && commit.owner->holder.empty())
    end_ownership("the partition was released");
  else
    schedule_pass();
}

void partition_owner::on_refused(const scheduling::commit_batch& batch)
{
  const common::time_point now = m_dependencies.time.now();
  m_scheduler->commit_done(batch, false);
  if (m_isolation.refused(batch.parts()))
    m_scheduler->give_up_part(batch, now);
  // The store refuses even the renewal of the owner's row.
  if (batch.parts() == 0)
    m_commits_paused_until = now + m_options.retry_pause;
}

void partition_owner::on_replaced(const adapter::row& owner)
{
  if (!owner.value.empty())
    owner_row_changed(owner);
  if (owns())
    end_ownership("a commit conflicted with another owner's row");
}
} // namespace yardhill::node
