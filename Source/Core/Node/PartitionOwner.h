// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// One instance's part in one partition: watches its owner, takes it over when the owner is silent,
// and while it is the owner runs the partition's scheduler and writes down what it decides.
//
// The store alone says who owns a partition, by a conditional write of the owner's row. The row's
// version at that write is the fencing token. Every later write of the owner holds only as long as
// the row is still its own, and as long as no other write came in between.

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "Jobs/QueueTable.h"
#include "Node/AdvicePool.h"
#include "Node/BetterOwner.h"
#include "Node/CellLayout.h"
#include "Node/CommitWriter.h"
#include "Node/EarlierOrders.h"
#include "Node/JobIntake.h"
#include "Node/JobStore.h"
#include "Node/LoopMonitor.h"
#include "Node/OwnerWatch.h"
#include "Node/PartitionLoader.h"
#include "Node/RowSweeper.h"
#include "Node/SeenCapacities.h"
#include "Node/StoreClock.h"
#include "Node/StorePath.h"
#include "Scheduling/JobScheduler.h"
#include "platform/WorkerClient.h"

namespace yardhill::node
{
// What the owners of all partitions share with their process.
struct node_parts
{
  common::timekeeper& time;
  adapter::store_client& store;
  adapter::store_client& feed_store; // for feeds: directly, never through a peer
  const store_path& path;
  const store_clock& clock;
  adapter::worker_client& workers;
  advice_pool& advice;
  common::metrics& metrics;
  std::function<void(const std::string& peer, const common::peer_message&)> send_to_peer;
  // Known workers and queues, as the feeds have them.
  const std::map<std::string, scheduling::worker_info>& worker_entries;
  // Whether all entries have been read since this instance began to take a partition over.
  std::function<bool()> workers_known;
  seen_capacities& capacities;
  const loop_monitor& loop;
  const jobs::queue_table& queues;
  // How the cell is divided. It outlives the owners.
  const cell_layout& layout;
  // How much processor this instance may use for that partition beside others that it owns, and the
  // most that a peer may use for one more.
  std::function<std::uint32_t(const std::string& partition)> spare_millis;
  std::function<std::uint32_t()> strongest_peer;
};

// The accepted jobs of a partition that have not begun, by queue, and the age of that knowledge.
struct known_pending
{
  std::map<std::string, std::uint64_t> jobs;
  std::optional<common::duration> age; // none: it is not known how old it is
};

class partition_owner
{
public:
  partition_owner(const node_parts& parts, instance_identity self, std::string partition,
                  const ownership_options& options);
  ~partition_owner();
  partition_owner(const partition_owner&) = delete;
  partition_owner& operator=(const partition_owner&) = delete;

  const std::string& partition() const { return m_partition; }
  bool owns() const { return m_state == state::owning; }
  const seen_owner& seen() const { return m_watch.seen(); }

  // Whether some of its workers have what the job's steps require, as its owner told.
  bool has_labels(const jobs::job_spec& spec) const;

  void owner_row_changed(const adapter::row& row);
  // Whether it owns its partition or is about to.
  bool needs_workers() const { return m_state != state::watching; }
  // All workers' entries have been read.
  void workers_read();
  // The link to that instance has come up or has broken.
  void peer_link(const std::string& peer, bool linked) { m_watch.peer_link(peer, linked); }
  void worker_entry(const scheduling::worker_info& info);
  // The entry that is there now is not valid.
  void worker_entry_invalid(const common::worker_id& id);
  void worker_entry_gone(const common::worker_id& id);
  void queues_changed();
  // The store is back after a silence.
  void store_heard();
  // A job that has just been kept or cancelled. Another instance that owns the partition is told,
  // so that nobody need wait for the feed.
  void job_kept_here(const jobs::accepted_job& job, adapter::row_version version);
  void job_cancelled_here(const std::string& id);
  void on_notice(const common::job_notice& notice);
  // A later owner asks whether this instance still gives orders; the answer to such a question.
  void on_orders_question(const std::string& peer, const common::previous_requests_query& question);
  void on_orders_reply(const std::string& peer, const common::previous_requests_reply& reply);
  // What is written of a job here; nothing if this instance does not own it or does not know it, or
  // while the store may know more.
  std::optional<jobs::job_state> written_state(const std::string& id) const;
  // As its owner told in its row; if that is this instance, as it knows itself.
  known_pending pending() const;

  // Called often. `feed_healthy_since`: of the owners' feed.
  void tick(common::time_point now, std::optional<common::time_point> feed_healthy_since);
  // Planned stop: gives the partition back once everything is written.
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
  // When all orders of earlier owners are over, and the leases that they gave.
  common::time_point earlier_leases_end() const;
  void on_acquired(const owner_row& row, const adapter::transaction_result& result);
  void load();
  void on_loaded(loaded_partition loaded);
  // Once the partition's rows have been read, and the workers' entries or some time has passed.
  void begin_when_known(common::time_point now);
  void begin_owning(const loaded_partition& loaded);
  void start_commits(const loaded_partition& loaded);
  void pump_commits(common::time_point now);
  void on_written(const written_commit& commit);
  void on_replaced(const adapter::row& owner);
  void lose(const char* why);

  void tell_time(common::time_point now);
  void step_soon();
  void step();
  void carry_out(const scheduling::command& what);
  // Wraps a callback so that it does nothing once this ownership has ended.
  template<class answer_type>
  std::function<void(answer_type)>
  while_owner(void (scheduling::job_scheduler::*handle)(const answer_type&, common::time_point));
  // The owner's row to be written next; a release names no holder.
  owner_row next_row(bool release);
  // Whether this owner has come to know all that waits and nobody else has seen its counts yet: the
  // earlier owner's are old by then, so the row is renewed at once.
  bool counts_due() const;

  node_parts m_parts;
  instance_identity m_self;
  std::string m_partition;
  ownership_options m_options;
  state m_state = state::watching;
  owner_watch m_watch;
  better_owner m_better_owner;
  earlier_orders m_earlier;
  common::time_point m_quiet_since; // this process has given no orders, unless it is the owner
  bool m_stopping = false;
  bool m_releasing = false; // this ownership is given back once everything is written

  // Of the present ownership.
  std::shared_ptr<int> m_ownership; // replaced with each; callbacks hold it weakly
  std::unique_ptr<scheduling::job_scheduler> m_scheduler;
  std::shared_ptr<partition_loader> m_loader;
  std::optional<loaded_partition> m_loaded; // the workers' entries are still to come
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
  bool m_has_told_counts = false;
  common::one_shot_timer m_step_timer;
  bool m_step_due = false;
  common::time_point m_last_step{};
};
} // namespace yardhill::node
