// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// One instance's role in one partition. The instance watches the partition's owner and takes the
// partition over when the owner is silent. While it is the owner, it runs the partition's scheduler
// and commits the scheduler's decisions to the store.
//
// Only the store decides who owns a partition, by a conditional write of the owner's row. The row's
// version after that write is the fencing token. Every later write of the owner is conditional on
// the row still being its own and on no other write in between.

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "Jobs/QueueTable.h"
#include "Node/AdvicePool.h"
#include "Node/CellLayout.h"
#include "Node/CommitIsolation.h"
#include "Node/CommitWriter.h"
#include "Node/HandoverPolicy.h"
#include "Node/JobIntake.h"
#include "Node/JobStore.h"
#include "Node/KnownCapacities.h"
#include "Node/LoopMonitor.h"
#include "Node/OwnerWatch.h"
#include "Node/PartitionLoader.h"
#include "Node/PreviousOwnerRequests.h"
#include "Node/RowSweeper.h"
#include "Node/StoreClock.h"
#include "Node/StorePath.h"
#include "Scheduling/JobScheduler.h"
#include "platform/WorkerClient.h"

namespace yardhill::node
{
// Objects of the process that the owners of all partitions share.
struct owner_dependencies
{
  common::timekeeper& time;
  adapter::store_client& store;
  adapter::store_client& feed_store; // for feeds: sends calls directly, never through a peer
  const store_path& path;
  const store_clock& clock;
  adapter::worker_client& workers;
  advice_pool& advice;
  common::metrics& metrics;
  std::function<void(const std::string& peer, const common::peer_message&)> send_to_peer;
  // The known workers, kept up to date by a feed, as are `queues` below.
  const std::map<std::string, scheduling::worker_info>& worker_entries;
  // Whether all worker entries have been read since this instance began to take a partition over.
  std::function<bool()> worker_entries_known;
  known_capacities& capacities;
  const loop_monitor& loop;
  const jobs::queue_table& queues;
  // How the cell is divided into partitions. It outlives the owners.
  const cell_layout& layout;
  // The processor share, in thousandths of a core, that this instance may use for the given
  // partition beside others that it owns, and the largest share that a peer may use for one more
  // partition.
  std::function<std::uint32_t(const std::string& partition)> spare_millis;
  std::function<std::uint32_t()> strongest_peer_millis;
};

// The accepted jobs of a partition that have not begun, by queue, and the age of these counts.
struct pending_job_counts
{
  std::map<std::string, std::uint64_t> jobs;
  std::optional<common::duration> age; // none: unknown
};

class partition_owner
{
public:
  partition_owner(const owner_dependencies& dependencies, instance_identity self,
                  std::string partition, const ownership_options& options);
  ~partition_owner();
  partition_owner(const partition_owner&) = delete;
  partition_owner& operator=(const partition_owner&) = delete;

  const std::string& partition() const { return m_partition; }
  bool owns() const { return m_state == state::owning; }
  const observed_owner& seen() const { return m_watch.observed(); }

  // Whether each label that the job's steps require is present on some worker of the partition, as
  // its owner reported.
  bool has_labels(const jobs::job_spec& spec) const;

  void owner_row_changed(const adapter::row& row);
  // Whether this instance owns the partition or is taking it over.
  bool needs_worker_entries() const { return m_state != state::watching; }
  // To be called when all worker entries have been read.
  void worker_entries_read();
  // The link to that instance has come up (`linked`) or has broken.
  void peer_link_changed(const std::string& peer, bool linked)
  {
    m_watch.peer_link_changed(peer, linked);
  }
  void worker_entry(const scheduling::worker_info& info);
  // The worker's present entry is not valid.
  void worker_entry_invalid(const common::worker_id& id);
  void worker_entry_gone(const common::worker_id& id);
  void queues_changed();
  // To be called when the store answers again after a silence.
  void on_store_reachable();
  // This instance has stored a job, or the cancellation of one. If another instance owns the
  // partition, it is notified, so that nobody need wait for the feed.
  void job_accepted_here(const jobs::accepted_job& job, adapter::row_version version);
  void job_cancelled_here(const std::string& id);
  void on_notice(const common::job_notice& notice);
  // A later owner's query whether this instance still sends requests to workers, and the reply to
  // such a query.
  void on_orders_query(const std::string& peer, const common::previous_requests_query& question);
  void on_orders_reply(const std::string& peer, const common::previous_requests_reply& reply);
  // The committed state of a job, as far as this instance knows it; none if it does not own the
  // partition or does not know the job, or while the store may have a newer state.
  std::optional<jobs::job_state> written_state(const std::string& id) const;
  // The counts in the owner's row; if this instance is the owner, its own present counts.
  pending_job_counts pending() const;

  // Called often. `feed_healthy_since`: since when the feed of the owners' table has been healthy.
  void tick(common::time_point now, std::optional<common::time_point> feed_healthy_since);
  // For a planned stop: releases the partition once everything is committed.
  void hand_over();
  bool handed_over() const;

private:
  enum class state
  {
    watching,
    acquiring,
    loading,
    owning
  };

  bool should_take(common::time_point now,
                   std::optional<common::time_point> feed_healthy_since) const;
  void acquire();
  // When the requests of all previous owners to workers, and the leases that those owners granted,
  // have certainly ended.
  common::time_point previous_leases_end() const;
  void on_acquired(const owner_row& row, const adapter::transaction_result& result);
  void load();
  void on_loaded(loaded_partition loaded);
  // Begins the ownership once the partition's rows have been read, and the worker entries have been
  // read as well or k_worker_entries_timeout has passed.
  void begin_when_ready(common::time_point now);
  void begin_owning(const loaded_partition& loaded);
  void start_commits(const loaded_partition& loaded);
  void commit_if_due(common::time_point now);
  void on_written(const written_commit& commit);
  void on_refused(const scheduling::commit_batch& batch);
  void on_replaced(const adapter::row& owner);
  void end_ownership(const char* why);

  void update_wall_clock(common::time_point now);
  void schedule_pass();
  void run_pass();
  void execute(const scheduling::command& command);
  // Wraps a callback so that it does nothing once this ownership has ended.
  template<class answer_type>
  std::function<void(answer_type)>
  while_owner(void (scheduling::job_scheduler::*handle)(const answer_type&, common::time_point));
  // The owner's row to be written next; a release names no holder.
  owner_row next_row(bool release);
  // Whether this owner knows all waiting jobs but has not reported their counts yet. The counts of
  // the previous owner in the row are old by then, so the row is renewed at once.
  bool job_counts_due() const;

  owner_dependencies m_dependencies;
  instance_identity m_self;
  std::string m_partition;
  ownership_options m_options;
  state m_state = state::watching;
  owner_watch m_watch;
  handover_policy m_handover_policy;
  previous_owner_requests m_previous_requests;
  // Since when this process has sent no requests to workers; not valid while it is the owner.
  common::time_point m_no_requests_since;
  commit_isolation m_isolation;
  common::time_point m_commits_paused_until{};
  bool m_stopping = false;
  bool m_releasing = false; // the partition is released once everything is committed

  // State of the present ownership. `m_ownership` is a new object for each ownership, and callbacks
  // hold it weakly.
  std::shared_ptr<int> m_ownership;
  std::unique_ptr<scheduling::job_scheduler> m_scheduler;
  std::shared_ptr<partition_loader> m_loader;
  std::optional<loaded_partition> m_loaded; // set while the worker entries are awaited
  common::time_point m_loaded_at{};
  std::unique_ptr<job_intake> m_intake; // uses the scheduler
  scheduling::fencing_token m_token = 0;
  owner_row m_row;
  std::unique_ptr<commit_writer> m_commits;
  std::unique_ptr<row_sweeper> m_sweeper;
  common::time_point m_takeover_sent{};
  common::time_point m_last_commit{};
  common::time_point m_last_written{};
  common::time_point m_last_renewal{};
  bool m_has_reported_counts = false;
  common::one_shot_timer m_pass_timer;
  bool m_pass_scheduled = false;
  common::time_point m_last_pass{};
};
} // namespace yardhill::node
